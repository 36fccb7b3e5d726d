package review;

import java.nio.file.Path;

/** Runs one case. The exit status is 11 if the rule was broken, 10 if it held, and 12 if the case could not run. */
public final class Main {
    private static final int HELD = 10;
    private static final int COULD_NOT_RUN = 12;
    private static final long LONGEST_MS = 112_000;

    private Main() {}

    public static void main(String[] arguments) throws InterruptedException {
        Path folder = Path.of(arguments[1]);
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        Http.daemonThread(() -> {
            try {
                Thread.sleep(LONGEST_MS);
            } catch (InterruptedException e) {
                return;
            }
            System.out.println("the case took too long");
            System.exit(COULD_NOT_RUN);
        });
        int status = COULD_NOT_RUN;
        try {
            status = HELD + switch (arguments[0]) {
                case "upload" -> UploadCase.run(folder, trouble);
                case "grace" -> GraceCase.run(folder, trouble);
                case "poison" -> PoisonCase.run(folder, trouble);
                case "stall" -> StallCase.run(folder, trouble);
                case "cold" -> ColdCase.run(folder, trouble);
                default -> COULD_NOT_RUN - HELD;
            };
        } catch (Exception e) {
            e.printStackTrace();
        }
        System.exit(status);
    }
}
