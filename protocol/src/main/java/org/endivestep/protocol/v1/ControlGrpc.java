package org.endivestep.protocol.v1;

import static io.grpc.MethodDescriptor.generateFullMethodName;

/**
 * <pre>
 * Control calls between daemons.
 * </pre>
 */
@io.grpc.stub.annotations.GrpcGenerated
public final class ControlGrpc {

  private ControlGrpc() {}

  public static final java.lang.String SERVICE_NAME = "endivestep.v1.Control";

  // Static method descriptors that strictly reflect the proto.
  private static volatile io.grpc.MethodDescriptor<org.endivestep.protocol.v1.ConfigurationRequest,
      org.endivestep.protocol.v1.ConfigurationRecord> getFetchConfigurationMethod;

  @io.grpc.stub.annotations.RpcMethod(
      fullMethodName = SERVICE_NAME + '/' + "FetchConfiguration",
      requestType = org.endivestep.protocol.v1.ConfigurationRequest.class,
      responseType = org.endivestep.protocol.v1.ConfigurationRecord.class,
      methodType = io.grpc.MethodDescriptor.MethodType.UNARY)
  public static io.grpc.MethodDescriptor<org.endivestep.protocol.v1.ConfigurationRequest,
      org.endivestep.protocol.v1.ConfigurationRecord> getFetchConfigurationMethod() {
    io.grpc.MethodDescriptor<org.endivestep.protocol.v1.ConfigurationRequest, org.endivestep.protocol.v1.ConfigurationRecord> getFetchConfigurationMethod;
    if ((getFetchConfigurationMethod = ControlGrpc.getFetchConfigurationMethod) == null) {
      synchronized (ControlGrpc.class) {
        if ((getFetchConfigurationMethod = ControlGrpc.getFetchConfigurationMethod) == null) {
          ControlGrpc.getFetchConfigurationMethod = getFetchConfigurationMethod =
              io.grpc.MethodDescriptor.<org.endivestep.protocol.v1.ConfigurationRequest, org.endivestep.protocol.v1.ConfigurationRecord>newBuilder()
              .setType(io.grpc.MethodDescriptor.MethodType.UNARY)
              .setFullMethodName(generateFullMethodName(SERVICE_NAME, "FetchConfiguration"))
              .setSampledToLocalTracing(true)
              .setRequestMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.endivestep.protocol.v1.ConfigurationRequest.getDefaultInstance()))
              .setResponseMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.endivestep.protocol.v1.ConfigurationRecord.getDefaultInstance()))
              .setSchemaDescriptor(new ControlMethodDescriptorSupplier("FetchConfiguration"))
              .build();
        }
      }
    }
    return getFetchConfigurationMethod;
  }

  private static volatile io.grpc.MethodDescriptor<org.endivestep.protocol.v1.MembershipState,
      org.endivestep.protocol.v1.MembershipState> getSynchronizeMethod;

  @io.grpc.stub.annotations.RpcMethod(
      fullMethodName = SERVICE_NAME + '/' + "Synchronize",
      requestType = org.endivestep.protocol.v1.MembershipState.class,
      responseType = org.endivestep.protocol.v1.MembershipState.class,
      methodType = io.grpc.MethodDescriptor.MethodType.UNARY)
  public static io.grpc.MethodDescriptor<org.endivestep.protocol.v1.MembershipState,
      org.endivestep.protocol.v1.MembershipState> getSynchronizeMethod() {
    io.grpc.MethodDescriptor<org.endivestep.protocol.v1.MembershipState, org.endivestep.protocol.v1.MembershipState> getSynchronizeMethod;
    if ((getSynchronizeMethod = ControlGrpc.getSynchronizeMethod) == null) {
      synchronized (ControlGrpc.class) {
        if ((getSynchronizeMethod = ControlGrpc.getSynchronizeMethod) == null) {
          ControlGrpc.getSynchronizeMethod = getSynchronizeMethod =
              io.grpc.MethodDescriptor.<org.endivestep.protocol.v1.MembershipState, org.endivestep.protocol.v1.MembershipState>newBuilder()
              .setType(io.grpc.MethodDescriptor.MethodType.UNARY)
              .setFullMethodName(generateFullMethodName(SERVICE_NAME, "Synchronize"))
              .setSampledToLocalTracing(true)
              .setRequestMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.endivestep.protocol.v1.MembershipState.getDefaultInstance()))
              .setResponseMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.endivestep.protocol.v1.MembershipState.getDefaultInstance()))
              .setSchemaDescriptor(new ControlMethodDescriptorSupplier("Synchronize"))
              .build();
        }
      }
    }
    return getSynchronizeMethod;
  }

  private static volatile io.grpc.MethodDescriptor<org.endivestep.protocol.v1.CountersRequest,
      org.endivestep.protocol.v1.Counters> getReadCountersMethod;

  @io.grpc.stub.annotations.RpcMethod(
      fullMethodName = SERVICE_NAME + '/' + "ReadCounters",
      requestType = org.endivestep.protocol.v1.CountersRequest.class,
      responseType = org.endivestep.protocol.v1.Counters.class,
      methodType = io.grpc.MethodDescriptor.MethodType.UNARY)
  public static io.grpc.MethodDescriptor<org.endivestep.protocol.v1.CountersRequest,
      org.endivestep.protocol.v1.Counters> getReadCountersMethod() {
    io.grpc.MethodDescriptor<org.endivestep.protocol.v1.CountersRequest, org.endivestep.protocol.v1.Counters> getReadCountersMethod;
    if ((getReadCountersMethod = ControlGrpc.getReadCountersMethod) == null) {
      synchronized (ControlGrpc.class) {
        if ((getReadCountersMethod = ControlGrpc.getReadCountersMethod) == null) {
          ControlGrpc.getReadCountersMethod = getReadCountersMethod =
              io.grpc.MethodDescriptor.<org.endivestep.protocol.v1.CountersRequest, org.endivestep.protocol.v1.Counters>newBuilder()
              .setType(io.grpc.MethodDescriptor.MethodType.UNARY)
              .setFullMethodName(generateFullMethodName(SERVICE_NAME, "ReadCounters"))
              .setSampledToLocalTracing(true)
              .setRequestMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.endivestep.protocol.v1.CountersRequest.getDefaultInstance()))
              .setResponseMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.endivestep.protocol.v1.Counters.getDefaultInstance()))
              .setSchemaDescriptor(new ControlMethodDescriptorSupplier("ReadCounters"))
              .build();
        }
      }
    }
    return getReadCountersMethod;
  }

  /**
   * Creates a new async stub that supports all call types for the service
   */
  public static ControlStub newStub(io.grpc.Channel channel) {
    io.grpc.stub.AbstractStub.StubFactory<ControlStub> factory =
      new io.grpc.stub.AbstractStub.StubFactory<ControlStub>() {
        @java.lang.Override
        public ControlStub newStub(io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
          return new ControlStub(channel, callOptions);
        }
      };
    return ControlStub.newStub(factory, channel);
  }

  /**
   * Creates a new blocking-style stub that supports all types of calls on the service
   */
  public static ControlBlockingV2Stub newBlockingV2Stub(
      io.grpc.Channel channel) {
    io.grpc.stub.AbstractStub.StubFactory<ControlBlockingV2Stub> factory =
      new io.grpc.stub.AbstractStub.StubFactory<ControlBlockingV2Stub>() {
        @java.lang.Override
        public ControlBlockingV2Stub newStub(io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
          return new ControlBlockingV2Stub(channel, callOptions);
        }
      };
    return ControlBlockingV2Stub.newStub(factory, channel);
  }

  /**
   * Creates a new blocking-style stub that supports unary and streaming output calls on the service
   */
  public static ControlBlockingStub newBlockingStub(
      io.grpc.Channel channel) {
    io.grpc.stub.AbstractStub.StubFactory<ControlBlockingStub> factory =
      new io.grpc.stub.AbstractStub.StubFactory<ControlBlockingStub>() {
        @java.lang.Override
        public ControlBlockingStub newStub(io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
          return new ControlBlockingStub(channel, callOptions);
        }
      };
    return ControlBlockingStub.newStub(factory, channel);
  }

  /**
   * Creates a new ListenableFuture-style stub that supports unary calls on the service
   */
  public static ControlFutureStub newFutureStub(
      io.grpc.Channel channel) {
    io.grpc.stub.AbstractStub.StubFactory<ControlFutureStub> factory =
      new io.grpc.stub.AbstractStub.StubFactory<ControlFutureStub>() {
        @java.lang.Override
        public ControlFutureStub newStub(io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
          return new ControlFutureStub(channel, callOptions);
        }
      };
    return ControlFutureStub.newStub(factory, channel);
  }

  /**
   * <pre>
   * Control calls between daemons.
   * </pre>
   */
  public interface AsyncService {

    /**
     */
    default void fetchConfiguration(org.endivestep.protocol.v1.ConfigurationRequest request,
        io.grpc.stub.StreamObserver<org.endivestep.protocol.v1.ConfigurationRecord> responseObserver) {
      io.grpc.stub.ServerCalls.asyncUnimplementedUnaryCall(getFetchConfigurationMethod(), responseObserver);
    }

    /**
     */
    default void synchronize(org.endivestep.protocol.v1.MembershipState request,
        io.grpc.stub.StreamObserver<org.endivestep.protocol.v1.MembershipState> responseObserver) {
      io.grpc.stub.ServerCalls.asyncUnimplementedUnaryCall(getSynchronizeMethod(), responseObserver);
    }

    /**
     */
    default void readCounters(org.endivestep.protocol.v1.CountersRequest request,
        io.grpc.stub.StreamObserver<org.endivestep.protocol.v1.Counters> responseObserver) {
      io.grpc.stub.ServerCalls.asyncUnimplementedUnaryCall(getReadCountersMethod(), responseObserver);
    }
  }

  /**
   * Base class for the server implementation of the service Control.
   * <pre>
   * Control calls between daemons.
   * </pre>
   */
  public static abstract class ControlImplBase
      implements io.grpc.BindableService, AsyncService {

    @java.lang.Override public final io.grpc.ServerServiceDefinition bindService() {
      return ControlGrpc.bindService(this);
    }
  }

  /**
   * A stub to allow clients to do asynchronous rpc calls to service Control.
   * <pre>
   * Control calls between daemons.
   * </pre>
   */
  public static final class ControlStub
      extends io.grpc.stub.AbstractAsyncStub<ControlStub> {
    private ControlStub(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      super(channel, callOptions);
    }

    @java.lang.Override
    protected ControlStub build(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      return new ControlStub(channel, callOptions);
    }

    /**
     */
    public void fetchConfiguration(org.endivestep.protocol.v1.ConfigurationRequest request,
        io.grpc.stub.StreamObserver<org.endivestep.protocol.v1.ConfigurationRecord> responseObserver) {
      io.grpc.stub.ClientCalls.asyncUnaryCall(
          getChannel().newCall(getFetchConfigurationMethod(), getCallOptions()), request, responseObserver);
    }

    /**
     */
    public void synchronize(org.endivestep.protocol.v1.MembershipState request,
        io.grpc.stub.StreamObserver<org.endivestep.protocol.v1.MembershipState> responseObserver) {
      io.grpc.stub.ClientCalls.asyncUnaryCall(
          getChannel().newCall(getSynchronizeMethod(), getCallOptions()), request, responseObserver);
    }

    /**
     */
    public void readCounters(org.endivestep.protocol.v1.CountersRequest request,
        io.grpc.stub.StreamObserver<org.endivestep.protocol.v1.Counters> responseObserver) {
      io.grpc.stub.ClientCalls.asyncUnaryCall(
          getChannel().newCall(getReadCountersMethod(), getCallOptions()), request, responseObserver);
    }
  }

  /**
   * A stub to allow clients to do synchronous rpc calls to service Control.
   * <pre>
   * Control calls between daemons.
   * </pre>
   */
  public static final class ControlBlockingV2Stub
      extends io.grpc.stub.AbstractBlockingStub<ControlBlockingV2Stub> {
    private ControlBlockingV2Stub(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      super(channel, callOptions);
    }

    @java.lang.Override
    protected ControlBlockingV2Stub build(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      return new ControlBlockingV2Stub(channel, callOptions);
    }

    /**
     */
    public org.endivestep.protocol.v1.ConfigurationRecord fetchConfiguration(org.endivestep.protocol.v1.ConfigurationRequest request) {
      return io.grpc.stub.ClientCalls.blockingUnaryCall(
          getChannel(), getFetchConfigurationMethod(), getCallOptions(), request);
    }

    /**
     */
    public org.endivestep.protocol.v1.MembershipState synchronize(org.endivestep.protocol.v1.MembershipState request) {
      return io.grpc.stub.ClientCalls.blockingUnaryCall(
          getChannel(), getSynchronizeMethod(), getCallOptions(), request);
    }

    /**
     */
    public org.endivestep.protocol.v1.Counters readCounters(org.endivestep.protocol.v1.CountersRequest request) {
      return io.grpc.stub.ClientCalls.blockingUnaryCall(
          getChannel(), getReadCountersMethod(), getCallOptions(), request);
    }
  }

  /**
   * A stub to allow clients to do limited synchronous rpc calls to service Control.
   * <pre>
   * Control calls between daemons.
   * </pre>
   */
  public static final class ControlBlockingStub
      extends io.grpc.stub.AbstractBlockingStub<ControlBlockingStub> {
    private ControlBlockingStub(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      super(channel, callOptions);
    }

    @java.lang.Override
    protected ControlBlockingStub build(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      return new ControlBlockingStub(channel, callOptions);
    }

    /**
     */
    public org.endivestep.protocol.v1.ConfigurationRecord fetchConfiguration(org.endivestep.protocol.v1.ConfigurationRequest request) {
      return io.grpc.stub.ClientCalls.blockingUnaryCall(
          getChannel(), getFetchConfigurationMethod(), getCallOptions(), request);
    }

    /**
     */
    public org.endivestep.protocol.v1.MembershipState synchronize(org.endivestep.protocol.v1.MembershipState request) {
      return io.grpc.stub.ClientCalls.blockingUnaryCall(
          getChannel(), getSynchronizeMethod(), getCallOptions(), request);
    }

    /**
     */
    public org.endivestep.protocol.v1.Counters readCounters(org.endivestep.protocol.v1.CountersRequest request) {
      return io.grpc.stub.ClientCalls.blockingUnaryCall(
          getChannel(), getReadCountersMethod(), getCallOptions(), request);
    }
  }

  /**
   * A stub to allow clients to do ListenableFuture-style rpc calls to service Control.
   * <pre>
   * Control calls between daemons.
   * </pre>
   */
  public static final class ControlFutureStub
      extends io.grpc.stub.AbstractFutureStub<ControlFutureStub> {
    private ControlFutureStub(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      super(channel, callOptions);
    }

    @java.lang.Override
    protected ControlFutureStub build(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      return new ControlFutureStub(channel, callOptions);
    }

    /**
     */
    public com.google.common.util.concurrent.ListenableFuture<org.endivestep.protocol.v1.ConfigurationRecord> fetchConfiguration(
        org.endivestep.protocol.v1.ConfigurationRequest request) {
      return io.grpc.stub.ClientCalls.futureUnaryCall(
          getChannel().newCall(getFetchConfigurationMethod(), getCallOptions()), request);
    }

    /**
     */
    public com.google.common.util.concurrent.ListenableFuture<org.endivestep.protocol.v1.MembershipState> synchronize(
        org.endivestep.protocol.v1.MembershipState request) {
      return io.grpc.stub.ClientCalls.futureUnaryCall(
          getChannel().newCall(getSynchronizeMethod(), getCallOptions()), request);
    }

    /**
     */
    public com.google.common.util.concurrent.ListenableFuture<org.endivestep.protocol.v1.Counters> readCounters(
        org.endivestep.protocol.v1.CountersRequest request) {
      return io.grpc.stub.ClientCalls.futureUnaryCall(
          getChannel().newCall(getReadCountersMethod(), getCallOptions()), request);
    }
  }

  private static final int METHODID_FETCH_CONFIGURATION = 0;
  private static final int METHODID_SYNCHRONIZE = 1;
  private static final int METHODID_READ_COUNTERS = 2;

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
        case METHODID_FETCH_CONFIGURATION:
          serviceImpl.fetchConfiguration((org.endivestep.protocol.v1.ConfigurationRequest) request,
              (io.grpc.stub.StreamObserver<org.endivestep.protocol.v1.ConfigurationRecord>) responseObserver);
          break;
        case METHODID_SYNCHRONIZE:
          serviceImpl.synchronize((org.endivestep.protocol.v1.MembershipState) request,
              (io.grpc.stub.StreamObserver<org.endivestep.protocol.v1.MembershipState>) responseObserver);
          break;
        case METHODID_READ_COUNTERS:
          serviceImpl.readCounters((org.endivestep.protocol.v1.CountersRequest) request,
              (io.grpc.stub.StreamObserver<org.endivestep.protocol.v1.Counters>) responseObserver);
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
        default:
          throw new AssertionError();
      }
    }
  }

  public static final io.grpc.ServerServiceDefinition bindService(AsyncService service) {
    return io.grpc.ServerServiceDefinition.builder(getServiceDescriptor())
        .addMethod(
          getFetchConfigurationMethod(),
          io.grpc.stub.ServerCalls.asyncUnaryCall(
            new MethodHandlers<
              org.endivestep.protocol.v1.ConfigurationRequest,
              org.endivestep.protocol.v1.ConfigurationRecord>(
                service, METHODID_FETCH_CONFIGURATION)))
        .addMethod(
          getSynchronizeMethod(),
          io.grpc.stub.ServerCalls.asyncUnaryCall(
            new MethodHandlers<
              org.endivestep.protocol.v1.MembershipState,
              org.endivestep.protocol.v1.MembershipState>(
                service, METHODID_SYNCHRONIZE)))
        .addMethod(
          getReadCountersMethod(),
          io.grpc.stub.ServerCalls.asyncUnaryCall(
            new MethodHandlers<
              org.endivestep.protocol.v1.CountersRequest,
              org.endivestep.protocol.v1.Counters>(
                service, METHODID_READ_COUNTERS)))
        .build();
  }

  private static abstract class ControlBaseDescriptorSupplier
      implements io.grpc.protobuf.ProtoFileDescriptorSupplier, io.grpc.protobuf.ProtoServiceDescriptorSupplier {
    ControlBaseDescriptorSupplier() {}

    @java.lang.Override
    public com.google.protobuf.Descriptors.FileDescriptor getFileDescriptor() {
      return org.endivestep.protocol.v1.Endivestep.getDescriptor();
    }

    @java.lang.Override
    public com.google.protobuf.Descriptors.ServiceDescriptor getServiceDescriptor() {
      return getFileDescriptor().findServiceByName("Control");
    }
  }

  private static final class ControlFileDescriptorSupplier
      extends ControlBaseDescriptorSupplier {
    ControlFileDescriptorSupplier() {}
  }

  private static final class ControlMethodDescriptorSupplier
      extends ControlBaseDescriptorSupplier
      implements io.grpc.protobuf.ProtoMethodDescriptorSupplier {
    private final java.lang.String methodName;

    ControlMethodDescriptorSupplier(java.lang.String methodName) {
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
      synchronized (ControlGrpc.class) {
        result = serviceDescriptor;
        if (result == null) {
          serviceDescriptor = result = io.grpc.ServiceDescriptor.newBuilder(SERVICE_NAME)
              .setSchemaDescriptor(new ControlFileDescriptorSupplier())
              .addMethod(getFetchConfigurationMethod())
              .addMethod(getSynchronizeMethod())
              .addMethod(getReadCountersMethod())
              .build();
        }
      }
    }
    return result;
  }
}
