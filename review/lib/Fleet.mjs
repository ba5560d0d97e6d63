// A small deployment: a store, backends of two services and entry hosts as processes.
import { writeFileSync } from "node:fs";
import { Backend } from "./Backend.mjs";
import { exchanges, isReady, wait, waitUntil } from "./client.mjs";
import { createDocument } from "./createDocument.mjs";
import { Edge } from "./Edge.mjs";
import { Store } from "./Store.mjs";

const START_LIMIT_MS = 30_000;

export class Fleet {
    store = new Store();
    backends = [];
    edges = [];
    #lines = [];
    #start = performance.now();

    async start({ hosts = 4, zones = ["zone-a"], document = createDocument(), backendsPerService = 2, slots = 6, workMs = 20, restartMs } = {}) {
        const address = await this.store.start();
        this.store.write("op/config", document);
        for (const service of Object.keys(document.services)) {
            for (const zone of zones) {
                for (let index = 0; index < backendsPerService; index++) {
                    const backend = new Backend(`i-${service}-${zone}-${index}`, service, this.store, { zone, slots });
                    backend.workMs = workMs;
                    await backend.start();
                    this.backends.push(backend);
                }
            }
        }
        for (let index = 0; index < hosts; index++) {
            const edge = new Edge(`edge-${index}`, address, { zone: zones[index % zones.length], restartMs });
            await edge.prepare();
            this.edges.push(edge);
        }
        this.edges.forEach(edge => edge.start());
        await waitUntil(async () => (await Promise.all(this.edges.map(isReady))).every(Boolean), START_LIMIT_MS, "ready");
        // The platform's traffic starts 10 s after the machines do; the hosts know each other by then.
        await wait(4_000);
        this.log(`${hosts} entry hosts are ready`);
    }

    async waitReady(edge) {
        await waitUntil(() => isReady(edge), START_LIMIT_MS, `${edge.name} is ready`);
    }

    log(text) {
        this.#lines.push(`${((performance.now() - this.#start) / 1_000).toFixed(3).padStart(8)} s  ${text}`);
    }

    getRuns() {
        return this.backends.flatMap(backend => backend.runs);
    }

    async stop() {
        await Promise.all(this.edges.map(edge => edge.stop()));
        this.backends.forEach(backend => backend.stop());
        this.store.stop();
    }

    /** Lists what was sent, answered and run, a line for each request. */
    #listRequests() {
        const names = new Map(this.edges.map(edge => [edge.front.port, edge.name]));
        const byId = new Map();
        this.getRuns().forEach(run => byId.set(run.id, [...byId.get(run.id) ?? [], run]));
        const at = time => ((time - this.#start) / 1_000).toFixed(3);
        return [
            "sent at, id, machine, request, key, bytes | answered at, answer | run at, by, tenant",
            ...exchanges.map(({ id, port, method, path, key, bytes, sent, answer }) => {
                const answered = answer === undefined
                    ? "no answer"
                    : `${at(answer.ended)} ${answer.status ?? answer.error}${answer.isWhole === false ? " cut" : ""}`;
                const ran = (byId.get(id) ?? []).map(run => `${at(run.time)} ${run.backend} ${run.tenant ?? "(no tenant)"}`);
                const line = `${at(sent)} ${id} ${names.get(port)} ${method} ${path} ${key ?? "-"} ${bytes}`;
                return `${line} | ${answered} | ${ran.length === 0 ? "not run" : ran.join(", ")}`;
            }),
        ];
    }

    write(folder) {
        writeFileSync(`${folder}/record.txt`, `${[...this.#lines, "", ...this.#listRequests()].join("\n")}\n`);
    }
}

/** Runs a case: 1 if it finds the rule broken, 0 if the rule held, 2 if the case could not run. */
export async function runCase(folder, run) {
    const fleet = new Fleet();
    let code = 2;
    try {
        code = await run(fleet) ? 1 : 0;
    }
    catch (error) {
        fleet.log(`the case could not run: ${error.stack ?? error}`);
    }
    fleet.log(code === 1 ? "BROKEN" : code === 0 ? "held" : "no result");
    await fleet.stop();
    fleet.write(folder);
    process.exit(code);
}
