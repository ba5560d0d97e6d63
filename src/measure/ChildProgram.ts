import { type ChildProcess, spawn } from "node:child_process";
import { once } from "node:events";
import { join } from "node:path";
import { createInterface } from "node:readline";
import { FuchsiapathError } from "../errors/index.js";
import type { Clock } from "../time/index.js";
import type { ChildProgramOptions } from "./ChildProgramOptions.js";

const PROGRAM_FOLDER = join(import.meta.dirname, "..", "bin");
const KEPT_LINES = 20;

/** A program of the project that runs as a process of its own. */
export class ChildProgram {
    readonly #options: ChildProgramOptions;
    readonly #clock: Clock;
    readonly #lastLines: string[] = [];
    #process: ChildProcess | undefined;

    /**
     * @param options - How it is started.
     * @param clock - The source of time.
     */
    constructor(options: ChildProgramOptions, clock: Clock) {
        this.#options = options;
        this.#clock = clock;
    }

    /** Gets the process's name. */
    getName(): string {
        return this.#options.name;
    }

    /** Gets the process id while it runs. */
    getProcessId(): number | undefined {
        return this.#process?.pid;
    }

    /** Starts the process and returns the first line that it prints. */
    async start(): Promise<string> {
        const { args, name, program } = this.#options;
        const file = join(PROGRAM_FOLDER, `${program}.js`);
        const child = spawn(process.execPath, [file, ...args], { stdio: ["ignore", "pipe", "pipe"] });
        this.#process = child;
        createInterface({ input: child.stderr }).on("line", line => this.#receiveLine(line));
        const output = createInterface({ input: child.stdout });
        const controller = new AbortController();
        const firstLine = once(output, "line", { signal: controller.signal }).then(([line]) => line as string);
        const exit = once(child, "exit", { signal: controller.signal }).then(([code]) => {
            throw new FuchsiapathError(`${name} ended with ${code}:\n${this.#lastLines.join("\n")}`);
        });
        try {
            return await Promise.race([firstLine, exit]);
        }
        finally {
            controller.abort();
            await Promise.allSettled([firstLine, exit]);
        }
    }

    /**
     * Stops the process gracefully, and by force once the limit has passed.
     * @param limitMs - How long it may take, in milliseconds.
     */
    async stop(limitMs: number): Promise<void> {
        const child = this.#process;
        if (child === undefined || child.exitCode !== null || child.signalCode !== null) {
            return;
        }
        const exit = once(child, "exit");
        const force = this.#clock.schedule(limitMs, () => child.kill("SIGKILL"));
        child.kill("SIGTERM");
        child.kill("SIGCONT");
        await exit;
        force.cancel();
    }

    #receiveLine(line: string): void {
        this.#lastLines.push(line);
        if (this.#lastLines.length > KEPT_LINES) {
            this.#lastLines.shift();
        }
        this.#options.listener?.(line);
    }
}
