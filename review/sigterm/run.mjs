// Two rolling restarts overlap, so that a machine that is stopping gets SIGTERM again; it must still answer what it has passed on.
import { dirname } from "node:path";
import { fileURLToPath } from "node:url";
import { send, wait } from "../lib/client.mjs";
import { runCase } from "../lib/Fleet.mjs";

const HOSTS = 6;
const ROLLED_HOSTS = 3;
/** Pause between two machines of a rolling restart, in the trouble list of the site. */
const ROLL_GAP_MS = 1_300;
/** The second rolling restart begins so much later. */
const SECOND_ROLL_MS = 1_000;
/** The work of orders is spread evenly over this range; the site's orders take 480 ms in the mean and 2,900 ms at most. */
const MIN_WORK_MS = 100;
const MAX_WORK_MS = 1_700;
const ORDERS_PER_S = 20;

await runCase(dirname(fileURLToPath(import.meta.url)), async (fleet, hasTrouble) => {
    await fleet.start({ hosts: HOSTS, backendsPerService: 4, slots: 12 });
    fleet.backends.forEach(backend =>
        backend.getWorkMs = () => MIN_WORK_MS + Math.random() * (MAX_WORK_MS - MIN_WORK_MS)
    );
    const orders = [];
    let isRunning = true;
    const sendOrders = async () => {
        for (let count = 0; isRunning; count++) {
            await wait(1_000 / ORDERS_PER_S);
            const edges = fleet.edges.filter(edge => !edge.isStopping);
            const edge = edges[count % edges.length];
            const options = { method: "POST", key: "key-1", body: "one pair", deadlineMs: 8_000 };
            orders.push(send(edge.front, `/order/${count}`, options).then(answer => ({ ...answer, edge: edge.name })));
        }
    };
    const sender = sendOrders();
    await wait(2_000);
    const roll = async (name, delayMs) => {
        await wait(delayMs);
        for (const edge of fleet.edges.slice(0, ROLLED_HOSTS)) {
            edge.isStopping = true;
            edge.terminate();
            fleet.log(`rolling restart ${name}: SIGTERM to ${edge.name}`);
            await wait(ROLL_GAP_MS);
        }
    };
    await Promise.all([roll("one", 0), ...hasTrouble ? [roll("two", SECOND_ROLL_MS)] : []]);
    await wait(6_000);
    isRunning = false;
    await sender;
    const answers = await Promise.all(orders);
    const ran = new Set(fleet.getRuns().map(run => run.id));
    const cut = answers.filter(({ id, status, isWhole }) => ran.has(id) && (status === undefined || !isWhole));
    cut.forEach(({ id, error, edge, sent, ended }) =>
        fleet.log(`order ${id}, taken and passed on by ${edge}, ended with ${error} after ${Math.round(ended - sent)} ms`)
    );
    const counts = {};
    answers.forEach(({ status, error }) => counts[status ?? error] = (counts[status ?? error] ?? 0) + 1);
    fleet.log(`answers: ${JSON.stringify(counts)}; cut though passed on: ${cut.length}`);
    return cut.length > 0;
});
