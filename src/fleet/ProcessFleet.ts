import { mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { request } from "undici";
import type { ConfigurationDocument, Service } from "../configuration/index.js";
import { FuchsiapathError } from "../errors/index.js";
import type { ExperimentPlace } from "../load/index.js";
import { SystemClock } from "../time/index.js";
import { parseAddress } from "../utils/index.js";
import { createEntrySettings } from "./createEntrySettings.js";
import { createFleetDocument } from "./createFleetDocument.js";
import { FLEET_OPERATOR } from "./FLEET_OPERATOR.js";
import { FleetAddresses } from "./FleetAddresses.js";
import type { FleetKeys } from "./FleetKeys.js";
import type { FleetOptions } from "./FleetOptions.js";
import { FleetProcess } from "./FleetProcess.js";

const BIN_FOLDER = "dist/src/bin";
const READY_TIMEOUT_MS = 30_000;
const UPSTREAM_SEED_STEP = 1_000;
const READY_POLL_MS = 50;
const STOP_TIMEOUT_MS = 20_000;

/** A fleet of separate processes on loopback with stand-ins for the platform and the upstreams. */
export class ProcessFleet {
    readonly addresses: FleetAddresses;
    readonly document: ConfigurationDocument;
    readonly #options: FleetOptions;
    readonly #folder = mkdtempSync(join(tmpdir(), "fuchsiapath-"));
    readonly #clock = new SystemClock();
    readonly #processes: FleetProcess[] = [];
    readonly #entries = new Map<number, FleetProcess>();

    /** @param options - The fleet. */
    constructor(options: FleetOptions) {
        this.#options = options;
        this.addresses = new FleetAddresses(options);
        this.document = createFleetDocument(options);
    }

    /** Gets the services of the fleet's document. */
    getServices(): readonly Service[] {
        return Object.values(this.document.sections).flatMap(section => section.services ?? []);
    }

    /** Gets the availability zones of the fleet's upstreams, sorted. */
    getZones(): readonly string[] {
        return [...new Set(this.getServices().flatMap(service => service.upstreams.map(upstream => upstream.zone)))]
            .sort();
    }

    /** Gets how many entry hosts the fleet has. */
    getHostCount(): number {
        return this.getZones().length * this.#options.hostsPerZone;
    }

    /** Gets the URLs at which callers reach the entry hosts. */
    getEntryUrls(): readonly string[] {
        const indexes = Array.from({ length: this.getHostCount() }, (_, index) => index);
        return indexes.map(index => `http://${this.addresses.getCaller(index)}`);
    }

    /** Gets the URLs of the records of what ran on the upstreams. */
    getRecordUrls(): readonly string[] {
        return this.getServices().map((_, index) =>
            `http://${this.addresses.getUpstreamControl(index)}/control/records`
        );
    }

    /** Gets the URLs that experiments name. */
    getTargets(): Readonly<Record<string, string>> {
        const controls = this.getServices().map((service, index) =>
            [service.name, `http://${this.addresses.getUpstreamControl(index)}/control`] as const
        );
        return {
            ...Object.fromEntries(controls),
            store: `http://${this.addresses.getStore()}/control`,
            hosts: `http://${this.addresses.getHostList()}/control`,
            operator: `http://${this.addresses.getOperator(0)}`,
        };
    }

    /** Gets where an experiment finds this fleet. */
    getPlace(): ExperimentPlace {
        const { keys } = JSON.parse(readFileSync(join(this.#options.example, "keys.json"), "utf8")) as FleetKeys;
        return {
            entries: this.getEntryUrls(),
            records: this.getRecordUrls(),
            targets: this.getTargets(),
            processes: this.getProcesses(),
            keys: Object.fromEntries(keys.map(({ account, key }) => [account, key])),
        };
    }

    /**
     * Gets the process of an entry host that has been started.
     * @param index - The entry host's number.
     */
    getEntryOrThrow(index: number): FleetProcess {
        const entry = this.#entries.get(index);
        if (entry === undefined) {
            throw new FuchsiapathError(`Entry host ${index} has not been started.`);
        }
        return entry;
    }

    /** Gets the file with the log of all processes. */
    getLogFile(): string {
        return join(this.#folder, "fleet.log");
    }

    /** Gets the process ids that experiments name. */
    getProcesses(): Readonly<Record<string, number>> {
        return Object.fromEntries([...this.#entries.values()].map(entry => [entry.name, entry.getId()]));
    }

    /** Starts the stand-ins and all entry hosts, and waits until the entry hosts serve. */
    async start(): Promise<void> {
        this.#startStandIns();
        const indexes = Array.from({ length: this.getHostCount() }, (_, index) => index);
        indexes.forEach(index => this.startEntry(index));
        await Promise.all(indexes.map(index => this.waitForMembers(index, indexes.length)));
    }

    /**
     * Starts an entry host.
     * @param index - Its number.
     */
    startEntry(index: number): void {
        const zones = this.getZones();
        const settings = createEntrySettings(this.#options, this.addresses, index, zones[index % zones.length]!);
        const file = this.writeFile(`entry-${index}.json`, settings);
        this.#entries.set(index, this.#startProgram(`entry-${index}`, "fuchsiapath-entry.js", ["--settings", file]));
    }

    /**
     * Waits until an entry host serves and knows a number of members.
     * @param index - The entry host's number.
     * @param count - The number of members.
     */
    async waitForMembers(index: number, count: number): Promise<void> {
        await this.waitFor(`entry host ${index} to know ${count} members`, async () => {
            const status = await this.getStatus(index);
            return status.isCurrent && status.members.length === count;
        });
    }

    /**
     * Waits until a condition holds; rejects after a while. A condition that rejects does not hold.
     * @param name - What is waited for.
     * @param isReady - The condition.
     */
    async waitFor(name: string, isReady: () => Promise<boolean>): Promise<void> {
        const deadline = this.#clock.getTime() + READY_TIMEOUT_MS;
        while (!await isReady().catch(() => false)) {
            if (this.#clock.getTime() > deadline) {
                throw new FuchsiapathError(`Waited too long for ${name}; see ${this.getLogFile()}.`);
            }
            await this.#clock.wait(READY_POLL_MS);
        }
    }

    /**
     * Gets an entry host's status.
     * @param index - The entry host's number.
     */
    async getStatus(index: number): Promise<{ isCurrent: boolean; version: number; members: unknown[]; }> {
        const response = await request(`http://${this.addresses.getOperator(index)}/v1/status`, {
            headers: { authorization: `Bearer ${FLEET_OPERATOR.token}` },
        });
        return await response.body.json() as { isCurrent: boolean; version: number; members: unknown[]; };
    }

    /** Applies the fleet's document through the operators' program. */
    async applyDocument(): Promise<void> {
        const file = this.writeFile("configuration.json", this.document);
        const args = ["apply", file, "--address", this.addresses.getOperator(0), "--token", FLEET_OPERATOR.token];
        const { exitCode, output } = await this.run("fuchsiapath.js", args);
        if (exitCode !== 0) {
            throw new FuchsiapathError(`The document was not applied (exit code ${exitCode}): ${output}`);
        }
    }

    /**
     * Runs one of the project's programs to its end; returns its exit code.
     * @param program - The compiled program, for example "fuchsiapath.js".
     * @param args - Its arguments.
     */
    async run(program: string, args: readonly string[]): Promise<{ exitCode: number | undefined; output: string; }> {
        const running = this.#startProgram(program, program, args);
        const exitCode = await running.wait();
        return { exitCode, output: running.getOutput() };
    }

    /**
     * Writes a JSON file into the fleet's folder; returns its path.
     * @param name - The file's name.
     * @param content - The content.
     */
    writeFile(name: string, content: unknown): string {
        const file = join(this.#folder, name);
        writeFileSync(file, JSON.stringify(content, undefined, 4));
        return file;
    }

    /** Stops all processes, entry hosts first and gracefully, and removes the fleet's folder. */
    async stop(): Promise<void> {
        await this.#stopProcesses([...this.#entries.values()]);
        await this.#stopProcesses(this.#processes);
        rmSync(this.#folder, { recursive: true, force: true });
    }

    #startStandIns(): void {
        const { port: storePort } = parseAddress(this.addresses.getStore());
        this.#startProgram("store", "fuchsiapath-standin.js", ["store", "--port", String(storePort)]);
        this.#startHostList();
        this.getServices().forEach((service, index) => this.#startUpstreams(service, index));
    }

    #startHostList(): void {
        const hosts = Array.from({ length: this.getHostCount() }, (_, index) => ({
            address: this.addresses.getPeer(index),
        }));
        const { port } = parseAddress(this.addresses.getHostList());
        const file = this.writeFile("hosts.json", { port, hosts });
        this.#startProgram("hosts", "fuchsiapath-standin.js", ["hosts", "--settings", file]);
    }

    #startUpstreams(service: Service, index: number): void {
        const upstreams = service.upstreams.map((upstream, seed) => ({
            name: upstream.name,
            port: parseAddress(upstream.address).port,
            slots: upstream.slots,
            connections: upstream.connections,
            seed: (this.#options.seed ?? 1) * UPSTREAM_SEED_STEP + seed,
            ...this.#options.upstreams,
        }));
        const { port: controlPort } = parseAddress(this.addresses.getUpstreamControl(index));
        const file = this.writeFile(`upstreams-${service.name}.json`, { controlPort, upstreams });
        this.#startProgram(service.name, "fuchsiapath-standin.js", ["upstream", "--settings", file]);
    }

    #startProgram(name: string, program: string, args: readonly string[]): FleetProcess {
        const logFile = this.getLogFile();
        const started = new FleetProcess({ name, program: join(BIN_FOLDER, program), args, logFile });
        this.#processes.push(started);
        return started;
    }

    async #stopProcesses(processes: readonly FleetProcess[]): Promise<void> {
        processes.forEach(running => running.send("SIGCONT"));
        processes.forEach(running => running.send("SIGTERM"));
        const timer = this.#clock.schedule(
            STOP_TIMEOUT_MS,
            () => processes.forEach(running => running.send("SIGKILL")),
        );
        await Promise.all(processes.map(running => running.wait()));
        timer.cancel();
    }
}
