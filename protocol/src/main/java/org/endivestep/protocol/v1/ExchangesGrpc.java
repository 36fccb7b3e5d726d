package org.endivestep.protocol.v1;

import static io.grpc.MethodDescriptor.generateFullMethodName;

/**
 * <pre>
 * Runs one attempt of a request, sent by the ingress daemon to the egress daemon.
 * </pre>
 */
@io.grpc.stub.annotations.GrpcGenerated
public final class ExchangesGrpc {

  private ExchangesGrpc() {}

  public static final java.lang.String SERVICE_NAME = "endivestep.v1.Exchanges";

  // Static method descriptors that strictly reflect the proto.
  private static volatile io.grpc.MethodDescriptor<org.endivestep.protocol.v1.RequestFrame,
      org.endivestep.protocol.v1.AnswerFrame> getExchangeMethod;

  @io.grpc.stub.annotations.RpcMethod(
      fullMethodName = SERVICE_NAME + '/' + "Exchange",
      requestType = org.endivestep.protocol.v1.RequestFrame.class,
      responseType = org.endivestep.protocol.v1.AnswerFrame.class,
      methodType = io.grpc.MethodDescriptor.MethodType.BIDI_STREAMING)
  public static io.grpc.MethodDescriptor<org.endivestep.protocol.v1.RequestFrame,
      org.endivestep.protocol.v1.AnswerFrame> getExchangeMethod() {
    io.grpc.MethodDescriptor<org.endivestep.protocol.v1.RequestFrame, org.endivestep.protocol.v1.AnswerFrame> getExchangeMethod;
    if ((getExchangeMethod = ExchangesGrpc.getExchangeMethod) == null) {
      synchronized (ExchangesGrpc.class) {
        if ((getExchangeMethod = ExchangesGrpc.getExchangeMethod) == null) {
          ExchangesGrpc.getExchangeMethod = getExchangeMethod =
              io.grpc.MethodDescriptor.<org.endivestep.protocol.v1.RequestFrame, org.endivestep.protocol.v1.AnswerFrame>newBuilder()
              .setType(io.grpc.MethodDescriptor.MethodType.BIDI_STREAMING)
              .setFullMethodName(generateFullMethodName(SERVICE_NAME, "Exchange"))
              .setSampledToLocalTracing(true)
              .setRequestMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.endivestep.protocol.v1.RequestFrame.getDefaultInstance()))
              .setResponseMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.endivestep.protocol.v1.AnswerFrame.getDefaultInstance()))
              .setSchemaDescriptor(new ExchangesMethodDescriptorSupplier("Exchange"))
              .build();
        }
      }
    }
    return getExchangeMethod;
  }

  private static volatile io.grpc.MethodDescriptor<org.endivestep.protocol.v1.Confirmation,
      org.endivestep.protocol.v1.ConfirmationReceipt> getConfirmMethod;

  @io.grpc.stub.annotations.RpcMethod(
      fullMethodName = SERVICE_NAME + '/' + "Confirm",
      requestType = org.endivestep.protocol.v1.Confirmation.class,
      responseType = org.endivestep.protocol.v1.ConfirmationReceipt.class,
      methodType = io.grpc.MethodDescriptor.MethodType.UNARY)
  public static io.grpc.MethodDescriptor<org.endivestep.protocol.v1.Confirmation,
      org.endivestep.protocol.v1.ConfirmationReceipt> getConfirmMethod() {
    io.grpc.MethodDescriptor<org.endivestep.protocol.v1.Confirmation, org.endivestep.protocol.v1.ConfirmationReceipt> getConfirmMethod;
    if ((getConfirmMethod = ExchangesGrpc.getConfirmMethod) == null) {
      synchronized (ExchangesGrpc.class) {
        if ((getConfirmMethod = ExchangesGrpc.getConfirmMethod) == null) {
          ExchangesGrpc.getConfirmMethod = getConfirmMethod =
              io.grpc.MethodDescriptor.<org.endivestep.protocol.v1.Confirmation, org.endivestep.protocol.v1.ConfirmationReceipt>newBuilder()
              .setType(io.grpc.MethodDescriptor.MethodType.UNARY)
              .setFullMethodName(generateFullMethodName(SERVICE_NAME, "Confirm"))
              .setSampledToLocalTracing(true)
              .setRequestMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.endivestep.protocol.v1.Confirmation.getDefaultInstance()))
              .setResponseMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.endivestep.protocol.v1.ConfirmationReceipt.getDefaultInstance()))
              .setSchemaDescriptor(new ExchangesMethodDescriptorSupplier("Confirm"))
              .build();
        }
      }
    }
    return getConfirmMethod;
  }

  private static volatile io.grpc.MethodDescriptor<org.endivestep.protocol.v1.FenceRequest,
      org.endivestep.protocol.v1.FenceAnswer> getFenceMethod;

  @io.grpc.stub.annotations.RpcMethod(
      fullMethodName = SERVICE_NAME + '/' + "Fence",
      requestType = org.endivestep.protocol.v1.FenceRequest.class,
      responseType = org.endivestep.protocol.v1.FenceAnswer.class,
      methodType = io.grpc.MethodDescriptor.MethodType.UNARY)
  public static io.grpc.MethodDescriptor<org.endivestep.protocol.v1.FenceRequest,
      org.endivestep.protocol.v1.FenceAnswer> getFenceMethod() {
    io.grpc.MethodDescriptor<org.endivestep.protocol.v1.FenceRequest, org.endivestep.protocol.v1.FenceAnswer> getFenceMethod;
    if ((getFenceMethod = ExchangesGrpc.getFenceMethod) == null) {
      synchronized (ExchangesGrpc.class) {
        if ((getFenceMethod = ExchangesGrpc.getFenceMethod) == null) {
          ExchangesGrpc.getFenceMethod = getFenceMethod =
              io.grpc.MethodDescriptor.<org.endivestep.protocol.v1.FenceRequest, org.endivestep.protocol.v1.FenceAnswer>newBuilder()
              .setType(io.grpc.MethodDescriptor.MethodType.UNARY)
              .setFullMethodName(generateFullMethodName(SERVICE_NAME, "Fence"))
              .setSampledToLocalTracing(true)
              .setRequestMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.endivestep.protocol.v1.FenceRequest.getDefaultInstance()))
              .setResponseMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.endivestep.protocol.v1.FenceAnswer.getDefaultInstance()))
              .setSchemaDescriptor(new ExchangesMethodDescriptorSupplier("Fence"))
              .build();
        }
      }
    }
    return getFenceMethod;
  }

  /**
   * Creates a new async stub that supports all call types for the service
   */
  public static ExchangesStub newStub(io.grpc.Channel channel) {
    io.grpc.stub.AbstractStub.StubFactory<ExchangesStub> factory =
      new io.grpc.stub.AbstractStub.StubFactory<ExchangesStub>() {
        @java.lang.Override
        public ExchangesStub newStub(io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
          return new ExchangesStub(channel, callOptions);
        }
      };
    return ExchangesStub.newStub(factory, channel);
  }

  /**
   * Creates a new blocking-style stub that supports all types of calls on the service
   */
  public static ExchangesBlockingV2Stub newBlockingV2Stub(
      io.grpc.Channel channel) {
    io.grpc.stub.AbstractStub.StubFactory<ExchangesBlockingV2Stub> factory =
      new io.grpc.stub.AbstractStub.StubFactory<ExchangesBlockingV2Stub>() {
        @java.lang.Override
        public ExchangesBlockingV2Stub newStub(io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
          return new ExchangesBlockingV2Stub(channel, callOptions);
        }
      };
    return ExchangesBlockingV2Stub.newStub(factory, channel);
  }

  /**
   * Creates a new blocking-style stub that supports unary and streaming output calls on the service
   */
  public static ExchangesBlockingStub newBlockingStub(
      io.grpc.Channel channel) {
    io.grpc.stub.AbstractStub.StubFactory<ExchangesBlockingStub> factory =
      new io.grpc.stub.AbstractStub.StubFactory<ExchangesBlockingStub>() {
        @java.lang.Override
        public ExchangesBlockingStub newStub(io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
          return new ExchangesBlockingStub(channel, callOptions);
        }
      };
    return ExchangesBlockingStub.newStub(factory, channel);
  }

  /**
   * Creates a new ListenableFuture-style stub that supports unary calls on the service
   */
  public static ExchangesFutureStub newFutureStub(
      io.grpc.Channel channel) {
    io.grpc.stub.AbstractStub.StubFactory<ExchangesFutureStub> factory =
      new io.grpc.stub.AbstractStub.StubFactory<ExchangesFutureStub>() {
        @java.lang.Override
        public ExchangesFutureStub newStub(io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
          return new ExchangesFutureStub(channel, callOptions);
        }
      };
    return ExchangesFutureStub.newStub(factory, channel);
  }

  /**
   * <pre>
   * Runs one attempt of a request, sent by the ingress daemon to the egress daemon.
   * </pre>
   */
  public interface AsyncService {

    /**
     */
    default io.grpc.stub.StreamObserver<org.endivestep.protocol.v1.RequestFrame> exchange(
        io.grpc.stub.StreamObserver<org.endivestep.protocol.v1.AnswerFrame> responseObserver) {
      return io.grpc.stub.ServerCalls.asyncUnimplementedStreamingCall(getExchangeMethod(), responseObserver);
    }

    /**
     * <pre>
     * Confirms, in answer to a question on an exchange, that the caller of its request still waits.
     * </pre>
     */
    default void confirm(org.endivestep.protocol.v1.Confirmation request,
        io.grpc.stub.StreamObserver<org.endivestep.protocol.v1.ConfirmationReceipt> responseObserver) {
      io.grpc.stub.ServerCalls.asyncUnimplementedUnaryCall(getConfirmMethod(), responseObserver);
    }

    /**
     * <pre>
     * Fences an attempt: after the answer NEVER_STARTED the attempt cannot start.
     * </pre>
     */
    default void fence(org.endivestep.protocol.v1.FenceRequest request,
        io.grpc.stub.StreamObserver<org.endivestep.protocol.v1.FenceAnswer> responseObserver) {
      io.grpc.stub.ServerCalls.asyncUnimplementedUnaryCall(getFenceMethod(), responseObserver);
    }
  }

  /**
   * Base class for the server implementation of the service Exchanges.
   * <pre>
   * Runs one attempt of a request, sent by the ingress daemon to the egress daemon.
   * </pre>
   */
  public static abstract class ExchangesImplBase
      implements io.grpc.BindableService, AsyncService {

    @java.lang.Override public final io.grpc.ServerServiceDefinition bindService() {
      return ExchangesGrpc.bindService(this);
    }
  }

  /**
   * A stub to allow clients to do asynchronous rpc calls to service Exchanges.
   * <pre>
   * Runs one attempt of a request, sent by the ingress daemon to the egress daemon.
   * </pre>
   */
  public static final class ExchangesStub
      extends io.grpc.stub.AbstractAsyncStub<ExchangesStub> {
    private ExchangesStub(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      super(channel, callOptions);
    }

    @java.lang.Override
    protected ExchangesStub build(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      return new ExchangesStub(channel, callOptions);
    }

    /**
     */
    public io.grpc.stub.StreamObserver<org.endivestep.protocol.v1.RequestFrame> exchange(
        io.grpc.stub.StreamObserver<org.endivestep.protocol.v1.AnswerFrame> responseObserver) {
      return io.grpc.stub.ClientCalls.asyncBidiStreamingCall(
          getChannel().newCall(getExchangeMethod(), getCallOptions()), responseObserver);
    }

    /**
     * <pre>
     * Confirms, in answer to a question on an exchange, that the caller of its request still waits.
     * </pre>
     */
    public void confirm(org.endivestep.protocol.v1.Confirmation request,
        io.grpc.stub.StreamObserver<org.endivestep.protocol.v1.ConfirmationReceipt> responseObserver) {
      io.grpc.stub.ClientCalls.asyncUnaryCall(
          getChannel().newCall(getConfirmMethod(), getCallOptions()), request, responseObserver);
    }

    /**
     * <pre>
     * Fences an attempt: after the answer NEVER_STARTED the attempt cannot start.
     * </pre>
     */
    public void fence(org.endivestep.protocol.v1.FenceRequest request,
        io.grpc.stub.StreamObserver<org.endivestep.protocol.v1.FenceAnswer> responseObserver) {
      io.grpc.stub.ClientCalls.asyncUnaryCall(
          getChannel().newCall(getFenceMethod(), getCallOptions()), request, responseObserver);
    }
  }

  /**
   * A stub to allow clients to do synchronous rpc calls to service Exchanges.
   * <pre>
   * Runs one attempt of a request, sent by the ingress daemon to the egress daemon.
   * </pre>
   */
  public static final class ExchangesBlockingV2Stub
      extends io.grpc.stub.AbstractBlockingStub<ExchangesBlockingV2Stub> {
    private ExchangesBlockingV2Stub(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      super(channel, callOptions);
    }

    @java.lang.Override
    protected ExchangesBlockingV2Stub build(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      return new ExchangesBlockingV2Stub(channel, callOptions);
    }

    /**
     */
    @io.grpc.ExperimentalApi("https://github.com/grpc/grpc-java/issues/10918")
    public io.grpc.stub.BlockingClientCall<org.endivestep.protocol.v1.RequestFrame, org.endivestep.protocol.v1.AnswerFrame>
        exchange() {
      return io.grpc.stub.ClientCalls.blockingBidiStreamingCall(
          getChannel(), getExchangeMethod(), getCallOptions());
    }

    /**
     * <pre>
     * Confirms, in answer to a question on an exchange, that the caller of its request still waits.
     * </pre>
     */
    public org.endivestep.protocol.v1.ConfirmationReceipt confirm(org.endivestep.protocol.v1.Confirmation request) {
      return io.grpc.stub.ClientCalls.blockingUnaryCall(
          getChannel(), getConfirmMethod(), getCallOptions(), request);
    }

    /**
     * <pre>
     * Fences an attempt: after the answer NEVER_STARTED the attempt cannot start.
     * </pre>
     */
    public org.endivestep.protocol.v1.FenceAnswer fence(org.endivestep.protocol.v1.FenceRequest request) {
      return io.grpc.stub.ClientCalls.blockingUnaryCall(
          getChannel(), getFenceMethod(), getCallOptions(), request);
    }
  }

  /**
   * A stub to allow clients to do limited synchronous rpc calls to service Exchanges.
   * <pre>
   * Runs one attempt of a request, sent by the ingress daemon to the egress daemon.
   * </pre>
   */
  public static final class ExchangesBlockingStub
      extends io.grpc.stub.AbstractBlockingStub<ExchangesBlockingStub> {
    private ExchangesBlockingStub(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      super(channel, callOptions);
    }

    @java.lang.Override
    protected ExchangesBlockingStub build(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      return new ExchangesBlockingStub(channel, callOptions);
    }

    /**
     * <pre>
     * Confirms, in answer to a question on an exchange, that the caller of its request still waits.
     * </pre>
     */
    public org.endivestep.protocol.v1.ConfirmationReceipt confirm(org.endivestep.protocol.v1.Confirmation request) {
      return io.grpc.stub.ClientCalls.blockingUnaryCall(
          getChannel(), getConfirmMethod(), getCallOptions(), request);
    }

    /**
     * <pre>
     * Fences an attempt: after the answer NEVER_STARTED the attempt cannot start.
     * </pre>
     */
    public org.endivestep.protocol.v1.FenceAnswer fence(org.endivestep.protocol.v1.FenceRequest request) {
      return io.grpc.stub.ClientCalls.blockingUnaryCall(
          getChannel(), getFenceMethod(), getCallOptions(), request);
    }
  }

  /**
   * A stub to allow clients to do ListenableFuture-style rpc calls to service Exchanges.
   * <pre>
   * Runs one attempt of a request, sent by the ingress daemon to the egress daemon.
   * </pre>
   */
  public static final class ExchangesFutureStub
      extends io.grpc.stub.AbstractFutureStub<ExchangesFutureStub> {
    private ExchangesFutureStub(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      super(channel, callOptions);
    }

    @java.lang.Override
    protected ExchangesFutureStub build(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      return new ExchangesFutureStub(channel, callOptions);
    }

    /**
     * <pre>
     * Confirms, in answer to a question on an exchange, that the caller of its request still waits.
     * </pre>
     */
    public com.google.common.util.concurrent.ListenableFuture<org.endivestep.protocol.v1.ConfirmationReceipt> confirm(
        org.endivestep.protocol.v1.Confirmation request) {
      return io.grpc.stub.ClientCalls.futureUnaryCall(
          getChannel().newCall(getConfirmMethod(), getCallOptions()), request);
    }

    /**
     * <pre>
     * Fences an attempt: after the answer NEVER_STARTED the attempt cannot start.
     * </pre>
     */
    public com.google.common.util.concurrent.ListenableFuture<org.endivestep.protocol.v1.FenceAnswer> fence(
        org.endivestep.protocol.v1.FenceRequest request) {
      return io.grpc.stub.ClientCalls.futureUnaryCall(
          getChannel().newCall(getFenceMethod(), getCallOptions()), request);
    }
  }

  private static final int METHODID_CONFIRM = 0;
  private static final int METHODID_FENCE = 1;
  private static final int METHODID_EXCHANGE = 2;

  private static final class MethodHandlers<Req, Resp> implements
      io.grpc.stub.ServerCalls.UnaryMethod<Req, Resp>,
      io.grpc.stub.ServerCalls.ServerStreamingMethod<Req, Resp>,
      io.grpc.stub.ServerCalls.ClientStreamingMethod<Req, Resp>,
      io.grpc.stub.ServerCalls.BidiStreamingMethod<Req, Resp> {
    private final AsyncService serviceImpl;
    private final int methodId;

    MethodHandlers(AsyncService serviceImpl, int methodId) {
      this.serviceImpl = serviceImpl;
      this.methodId = methodId;
    }

    @java.lang.Override
    @java.lang.SuppressWarnings("unchecked")
    public void invoke(Req request, io.grpc.stub.StreamObserver<Resp> responseObserver) {
      switch (methodId) {
        case METHODID_CONFIRM:
          serviceImpl.confirm((org.endivestep.protocol.v1.Confirmation) request,
              (io.grpc.stub.StreamObserver<org.endivestep.protocol.v1.ConfirmationReceipt>) responseObserver);
          break;
        case METHODID_FENCE:
          serviceImpl.fence((org.endivestep.protocol.v1.FenceRequest) request,
              (io.grpc.stub.StreamObserver<org.endivestep.protocol.v1.FenceAnswer>) responseObserver);
          break;
        default:
          throw new AssertionError();
      }
    }

    @java.lang.Override
    @java.lang.SuppressWarnings("unchecked")
    public io.grpc.stub.StreamObserver<Req> invoke(
        io.grpc.stub.StreamObserver<Resp> responseObserver) {
      switch (methodId) {
        case METHODID_EXCHANGE:
          return (io.grpc.stub.StreamObserver<Req>) serviceImpl.exchange(
              (io.grpc.stub.StreamObserver<org.endivestep.protocol.v1.AnswerFrame>) responseObserver);
        default:
          throw new AssertionError();
      }
    }
  }

  public static final io.grpc.ServerServiceDefinition bindService(AsyncService service) {
    return io.grpc.ServerServiceDefinition.builder(getServiceDescriptor())
        .addMethod(
          getExchangeMethod(),
          io.grpc.stub.ServerCalls.asyncBidiStreamingCall(
            new MethodHandlers<
              org.endivestep.protocol.v1.RequestFrame,
              org.endivestep.protocol.v1.AnswerFrame>(
                service, METHODID_EXCHANGE)))
        .addMethod(
          getConfirmMethod(),
          io.grpc.stub.ServerCalls.asyncUnaryCall(
            new MethodHandlers<
              org.endivestep.protocol.v1.Confirmation,
              org.endivestep.protocol.v1.ConfirmationReceipt>(
                service, METHODID_CONFIRM)))
        .addMethod(
          getFenceMethod(),
          io.grpc.stub.ServerCalls.asyncUnaryCall(
            new MethodHandlers<
              org.endivestep.protocol.v1.FenceRequest,
              org.endivestep.protocol.v1.FenceAnswer>(
                service, METHODID_FENCE)))
        .build();
  }

  private static abstract class ExchangesBaseDescriptorSupplier
      implements io.grpc.protobuf.ProtoFileDescriptorSupplier, io.grpc.protobuf.ProtoServiceDescriptorSupplier {
    ExchangesBaseDescriptorSupplier() {}

    @java.lang.Override
    public com.google.protobuf.Descriptors.FileDescriptor getFileDescriptor() {
      return org.endivestep.protocol.v1.Endivestep.getDescriptor();
    }

    @java.lang.Override
    public com.google.protobuf.Descriptors.ServiceDescriptor getServiceDescriptor() {
      return getFileDescriptor().findServiceByName("Exchanges");
    }
  }

  private static final class ExchangesFileDescriptorSupplier
      extends ExchangesBaseDescriptorSupplier {
    ExchangesFileDescriptorSupplier() {}
  }

  private static final class ExchangesMethodDescriptorSupplier
      extends ExchangesBaseDescriptorSupplier
      implements io.grpc.protobuf.ProtoMethodDescriptorSupplier {
    private final java.lang.String methodName;

    ExchangesMethodDescriptorSupplier(java.lang.String methodName) {
      this.methodName = methodName;
    }

    @java.lang.Override
    public com.google.protobuf.Descriptors.MethodDescriptor getMethodDescriptor() {
      return getServiceDescriptor().findMethodByName(methodName);
    }
  }

  private static volatile io.grpc.ServiceDescriptor serviceDescriptor;

  public static io.grpc.ServiceDescriptor getServiceDescriptor() {
    io.grpc.ServiceDescriptor result = serviceDescriptor;
    if (result == null) {
      synchronized (ExchangesGrpc.class) {
        result = serviceDescriptor;
        if (result == null) {
          serviceDescriptor = result = io.grpc.ServiceDescriptor.newBuilder(SERVICE_NAME)
              .setSchemaDescriptor(new ExchangesFileDescriptorSupplier())
              .addMethod(getExchangeMethod())
              .addMethod(getConfirmMethod())
              .addMethod(getFenceMethod())
              .build();
        }
      }
    }
    return result;
  }
}
