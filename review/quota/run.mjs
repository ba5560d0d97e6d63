// Two rolling restarts of the same half of the hosts, while tenants ask for more than their rate.
import { dirname } from "node:path";
import { fileURLToPath } from "node:url";
import { send, wait } from "../lib/client.mjs";
import { createDocument } from "../lib/createDocument.mjs";
import { runCase } from "../lib/Fleet.mjs";

const HOSTS = 6;
const ROLLED_HOSTS = 3;
/** The pause between two machines of a rolling restart, as in the trouble list of the site. */
const ROLL_GAP_MS = 1_300;
const RATE = 100;
const BURST = 200;
const TENANTS = 3;
/** Share of its rate that each tenant sends in calm. */
const CALM = 0.3;
/** How many times that it sends while it is hot; the site's hot tenant sends up to 7.5 times its usual. */
const HOT = 7.5;
/** How long tenants are hot before the second rolling restart begins: long enough to use up their burst. */
const HOT_LEAD_MS = 1_000;
/** How long tenants are hot in all. */
const HOT_MS = 6_500;
const WINDOW_MS = 5_000;
const OVERSHOOT = 0.1;
const SLACK = 20;

const tenants = Object.fromEntries(Array.from(
    { length: TENANTS },
    (_, index) => [`shop${index}`, { api_keys: [`key-${index}`], rate_per_s: RATE, burst: BURST }],
));

function findMost(times) {
    let most = 0;
    let start = 0;
    let at = 0;
    for (let end = 0; end < times.length; end++) {
        while (times[end] - times[start] > WINDOW_MS) {
            start++;
        }
        if (end - start + 1 > most) {
            most = end - start + 1;
            at = times[start];
        }
    }
    return { most, at };
}

await runCase(dirname(fileURLToPath(import.meta.url)), async (fleet, hasTrouble) => {
    await fleet.start({ hosts: HOSTS, document: createDocument({ tenants }), slots: 60, workMs: 20, backendsPerService: 3 });
    const begin = performance.now();
    const answers = new Map();
    let isRunning = true;
    let isHot = false;
    const sendAll = async (tenant, index) => {
        let due = begin;
        for (let count = 0; isRunning; count++) {
            due += 1_000 / (RATE * CALM * (isHot ? HOT : 1));
            await wait(Math.max(0, due - performance.now()));
            const edges = fleet.edges.filter(edge => !edge.isStopping);
            const edge = edges[(count + index) % edges.length];
            void send(edge.front, `/lookup/${tenant}/${count}`, { key: `key-${index}` }).then(answer => {
                const status = answer.status ?? answer.error;
                answers.set(status, (answers.get(status) ?? 0) + 1);
            });
        }
    };
    const senders = Object.keys(tenants).map((tenant, index) => sendAll(tenant, index));
    const roll = async () => {
        await Promise.all(fleet.edges.slice(0, ROLLED_HOSTS).map(async (edge, index) => {
            await wait(index * ROLL_GAP_MS);
            edge.isStopping = true;
            edge.terminate();
            fleet.log(`SIGTERM to ${edge.name}`);
            await edge.waitForStart();
            await fleet.waitReady(edge);
            fleet.log(`${edge.name} is ready again`);
            edge.isStopping = false;
        }));
    };
    await wait(6_000);
    for (let count = 0; count < 2; count++) {
        isHot = count > 0;
        fleet.log(`tenants send ${RATE * CALM * (isHot ? HOT : 1)} requests a second each`);
        const end = wait(HOT_MS).then(() => isHot = false);
        await wait(HOT_LEAD_MS);
        if (hasTrouble) {
            await roll();
        }
        await end;
        await wait(6_000);
    }
    isRunning = false;
    await Promise.all(senders);
    await wait(2_000);
    fleet.log(`answers: ${JSON.stringify([...answers])}`);
    const limit = (RATE * WINDOW_MS / 1_000 + BURST) * (1 + OVERSHOOT) + SLACK;
    let isBroken = false;
    for (const tenant of Object.keys(tenants)) {
        const times = fleet.getRuns().filter(run => run.tenant === tenant).map(run => run.time).sort((a, b) => a - b);
        const { most, at } = findMost(times);
        fleet.log(`${tenant}: ${times.length} run, at most ${most} in 5 s, from ${((at - begin) / 1_000).toFixed(1)} s on; limit ${limit}`);
        isBroken ||= most > limit;
    }
    return isBroken;
});
