import { type ChildProcess, spawn } from "node:child_process";
import { once } from "node:events";
import { join } from "node:path";
import { createInterface } from "node:readline";
import { FuchsiapathError } from "../errors/index.js";
import type { Clock } from "../time/index.js";
import type { ChildProgramOptions } from "./ChildProgramOptions.js";

const PROGRAM_FOLDER = join(import.meta.dirname, "..", "bin");
const KEPT_LINES = 20;
const CHECK_INTERVAL_MS = 50;

/** A program of the project that runs as a process of its own. */
export class ChildProgram {
    readonly #options: ChildProgramOptions;
    readonly #clock: Clock;
    readonly #lastLines: string[] = [];
    readonly #output: string[] = [];
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

    /** Starts the process. */
    start(): void {
        const { args, program } = this.#options;
        const file = join(PROGRAM_FOLDER, `${program}.js`);
        const child = spawn(process.execPath, [file, ...args], { stdio: ["ignore", "pipe", "pipe"] });
        this.#process = child;
        createInterface({ input: child.stderr }).on("line", line => this.#receiveLine(line));
        createInterface({ input: child.stdout }).on("line", line => this.#output.push(line));
    }

    /** Waits for the first line that the process prints; rejects if it ends before. */
    async readFirstLine(): Promise<string> {
        return await this.waitUntil(() => Promise.resolve(this.#output[0]));
    }

    /** Waits until the process ends and returns what it printed; rejects if it failed. */
    async readOutput(): Promise<string> {
        const child = this.#process!;
        if (child.exitCode === null && child.signalCode === null) {
            await once(child, "close");
        }
        if (child.exitCode !== 0) {
            throw this.#createError();
        }
        return this.#output.join("\n");
    }

    /**
     * Waits until a check finds something; rejects if the process ends before.
     * @param find - The check.
     */
    async waitUntil<Found>(find: () => Promise<Found | undefined>): Promise<Found> {
        const child = this.#process!;
        while (child.exitCode === null && child.signalCode === null) {
            const found = await find();
            if (found !== undefined) {
                return found;
            }
            await this.#clock.wait(CHECK_INTERVAL_MS);
        }
        throw this.#createError();
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

    #createError(): FuchsiapathError {
        const end = this.#process?.exitCode ?? this.#process?.signalCode;
        return new FuchsiapathError(`${this.#options.name} ended with ${end}:\n${this.#lastLines.join("\n")}`);
    }

    #receiveLine(line: string): void {
        this.#lastLines.push(line);
        if (this.#lastLines.length > KEPT_LINES) {
            this.#lastLines.shift();
        }
        this.#options.listener?.(line);
    }
}
