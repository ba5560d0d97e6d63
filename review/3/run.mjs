// A new version of the configuration adds a tenant; its orders must reach the backends under its own name.
import { dirname } from "node:path";
import { fileURLToPath } from "node:url";
import { send, wait } from "../lib/client.mjs";
import { createDocument } from "../lib/createDocument.mjs";
import { runCase } from "../lib/Fleet.mjs";

/** TROUBLE=0 leaves the disruption out. */
const hasTrouble = process.env.TROUBLE !== "0";
const HOSTS = 3;
const ORDERS = 30;
/** Longer than config_apply_s, within which the version must be in force. */
const APPLY_MS = 3_000;

await runCase(dirname(fileURLToPath(import.meta.url)), async fleet => {
    const document = createDocument();
    await fleet.start({ hosts: HOSTS, document });
    const tenant = hasTrouble ? "anonymous" : "soles";
    const tenants = { ...document.tenants, [tenant]: { api_keys: ["key-2"], rate_per_s: 100, burst: 100 } };
    fleet.store.write("op/config", { ...document, version: document.version + 1, tenants });
    fleet.log(`a new version adds the tenant ${tenant} with the key key-2`);
    await wait(APPLY_MS);
    for (let index = 0; index < ORDERS; index++) {
        const edge = fleet.edges[index % HOSTS];
        const { id, status, error } = await send(edge.front, `/order/${index}`, {
            method: "POST",
            key: "key-2",
            body: "one pair",
        });
        const run = fleet.getRuns().find(each => each.id === id);
        const seen = run === undefined ? "not run" : `run with Fuchsiapath-Tenant: ${run.tenant ?? "(absent)"}`;
        fleet.log(`order ${id} with key-2: ${status ?? error}, ${seen}`);
    }
    const wrong = fleet.getRuns().filter(run => run.tenant !== tenant);
    fleet.log(`orders that ran without the name of the key's tenant: ${wrong.length} of ${fleet.getRuns().length}`);
    return wrong.length > 0;
});
