package cresschute.simulator;

import java.io.FileDescriptor;
import java.io.FileInputStream;
import java.io.FileOutputStream;
import java.io.IOException;

/**
 * Command line entry point. {@code benchlink} speaks the simulator's wire protocol on standard
 * input and output.
 */
public final class Main {

    private Main() {}

    /**
     * Runs the subcommand. Exits with 2 on wrong usage or malformed input, and with 1 on an I/O
     * error.
     */
    public static void main(String[] args) {
        if (args.length != 1 || !args[0].equals("benchlink")) {
            System.err.println("usage: java -jar cresschute.jar benchlink");
            System.exit(2);
        }
        try {
            new SimulatorAdapter(
                            new FileInputStream(FileDescriptor.in),
                            new FileOutputStream(FileDescriptor.out))
                    .run();
        } catch (MalformedInputException e) {
            System.err.println("benchlink: malformed input: " + e.getMessage());
            System.exit(2);
        } catch (IOException e) {
            System.err.println("benchlink: " + e.getMessage());
            System.exit(1);
        }
    }
}
