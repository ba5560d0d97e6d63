import { writeFile } from "node:fs/promises";
import { join } from "node:path";
import { request } from "undici";
import type { ExperimentPlace } from "../load/index.js";
import type { EntrySettings } from "../settings/index.js";
import type { Clock } from "../time/index.js";
import { ChildProgram } from "./ChildProgram.js";
import { createFleetPlan } from "./createFleetPlan.js";
import type { FleetOptions } from "./FleetOptions.js";
import type { FleetPlan } from "./FleetPlan.js";

import { getOperatorToken } from "./getOperatorToken.js";
import type { LoggedDecision } from "./LoggedDecision.js";
import { parseDecision } from "./parseDecision.js";

const ADDRESSES_TO_TRY = 3;
const STOP_LIMIT_MS = 15_000;

/** A fleet on loopback: stand-ins and entry hosts as separate processes. */
export class Fleet {
    /** The decisions that the entry hosts have logged. */
    readonly decisions: LoggedDecision[] = [];
    readonly #options: FleetOptions;
    readonly #clock: Clock;
    readonly #plan: FleetPlan;
    readonly #standIns: ChildProgram[] = [];
    readonly #entries: ChildProgram[] = [];

    /**
     * @param options - What it is made of.
     * @param clock - The source of time.
     */
    constructor(options: FleetOptions, clock: Clock) {
        this.#options = options;
        this.#clock = clock;
        this.#plan = createFleetPlan(options);
    }

    /** Starts all processes and applies the document. */
    async start(): Promise<void> {
        await this.#startStandIns();
        await Promise.all(this.#plan.entries.map(settings => this.#startEntry(settings)));
        await this.#applyDocument();
    }

    /** Stops all processes that it started. */
    async stop(): Promise<void> {
        await Promise.all(this.#entries.map(entry => entry.stop(STOP_LIMIT_MS)));
        await Promise.all(this.#standIns.map(standIn => standIn.stop(STOP_LIMIT_MS)));
    }

    /**
     * Gets where an experiment finds the fleet.
     * @param keys - Keys by account name.
     */
    getPlace(keys: Readonly<Record<string, string>>): ExperimentPlace {
        const { controlPort, entries, storePort } = this.#plan;
        const control = `http://127.0.0.1:${controlPort}/control`;
        return {
            entries: entries.map(entry => `http://${entry.callerAddress}`),
            records: [`${control}/records`],
            targets: {
                upstreams: control,
                store: `http://127.0.0.1:${storePort}/control`,
                operator: `http://${entries[0]!.operatorAddress}`,
            },
            processes: Object.fromEntries(this.#entries.map(entry => [entry.getName(), entry.getProcessId()!])),
            keys,
        };
    }

    async #startStandIns(): Promise<void> {
        const { controlPort, entries, hostListPort, storePort, upstreams } = this.#plan;
        const hosts = entries.map(entry => ({ address: entry.peerAddress, leaving: false }));
        await Promise.all([
            this.#startStandIn("store", { port: storePort }),
            this.#startStandIn("hosts", { port: hostListPort, hosts }),
            this.#startStandIn("upstream", { controlPort, upstreams }),
        ]);
    }

    async #startStandIn(kind: string, settings: object): Promise<void> {
        const file = await this.#writeFile(`${kind}.json`, settings);
        const options = { name: kind, program: "fuchsiapath-standin", args: [kind, "--settings", file] };
        const standIn = new ChildProgram(options, this.#clock);
        this.#standIns.push(standIn);
        standIn.start();
        await standIn.readFirstLine();
    }

    async #startEntry(settings: EntrySettings): Promise<void> {
        const file = await this.#writeFile(`${settings.id}.json`, settings);
        const entry = new ChildProgram({
            name: settings.id,
            program: "fuchsiapath-entry",
            args: ["--settings", file],
            listener: line => this.#recordLine(settings.id, line),
        }, this.#clock);
        this.#entries.push(entry);
        entry.start();
        await entry.waitUntil(() => findAnswer(`http://${settings.callerAddress}/v1/addresses`));
    }

    #recordLine(host: string, line: string): void {
        const decision = parseDecision(host, line);
        if (decision !== undefined) {
            this.decisions.push(decision);
        }
    }

    async #applyDocument(): Promise<void> {
        const file = await this.#writeFile("configuration.json", this.#plan.document);
        for (const [name, section] of Object.entries(this.#plan.document.sections)) {
            await this.#applySection(file, name, section.owners[0]!);
        }
    }

    async #applySection(file: string, section: string, owner: string): Promise<void> {
        const addresses = this.#plan.entries.slice(0, ADDRESSES_TO_TRY).map(entry => entry.operatorAddress);
        const program = new ChildProgram({
            name: `apply ${section}`,
            program: "fuchsiapath",
            args: [
                "apply",
                file,
                "--section",
                section,
                "--token",
                getOperatorToken(owner),
                ...addresses.flatMap(address => ["--address", address]),
            ],
        }, this.#clock);
        program.start();
        await program.readOutput();
    }

    async #writeFile(name: string, content: object): Promise<string> {
        const file = join(this.#options.folder, name);
        await writeFile(file, JSON.stringify(content));
        return file;
    }
}

async function findAnswer(url: string): Promise<number | undefined> {
    return await request(url).then(async answer => {
        await answer.body.dump();
        return answer.statusCode;
    }, () => undefined);
}
