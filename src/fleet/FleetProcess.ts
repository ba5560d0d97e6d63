import { spawn } from "node:child_process";
import type { ChildProcess } from "node:child_process";
import { openSync } from "node:fs";
import type { FleetProcessOptions } from "./FleetProcessOptions.js";

/** A process of a test fleet, started and ended by its own id. */
export class FleetProcess {
    readonly name: string;
    readonly #child: ChildProcess;
    readonly #exited: Promise<number | undefined>;
    #output = "";
    #exitCode: number | undefined;
    #hasExited = false;

    /** @param options - What to start. */
    constructor(options: FleetProcessOptions) {
        this.name = options.name;
        const log = openSync(options.logFile, "a");
        this.#child = spawn(process.execPath, ["--enable-source-maps", options.program, ...options.args], {
            stdio: ["ignore", "pipe", log],
        });
        this.#child.stdout!.setEncoding("utf8").on("data", (text: string) => this.#output += text);
        this.#exited = new Promise(resolve => {
            this.#child.once("exit", code => {
                this.#hasExited = true;
                this.#exitCode = code ?? undefined;
                resolve(this.#exitCode);
            });
        });
    }

    /** Gets the process id. */
    getId(): number {
        return this.#child.pid!;
    }

    /** Gets what the process has written to standard output. */
    getOutput(): string {
        return this.#output;
    }

    /** Whether the process has ended. */
    hasExited(): boolean {
        return this.#hasExited;
    }

    /**
     * Sends a signal.
     * @param signal - The signal.
     */
    send(signal: NodeJS.Signals): void {
        if (!this.#hasExited) {
            this.#child.kill(signal);
        }
    }

    /** Waits for the end of the process; the exit code, or undefined if a signal ended it. */
    async wait(): Promise<number | undefined> {
        return await this.#exited;
    }
}
