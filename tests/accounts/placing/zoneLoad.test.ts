import { suite } from "uvu";
import * as assert from "uvu/assert";
import { OutcomeKind } from "../../../src/outcomes/index.js";
import { SeededRandom } from "../../../src/random/index.js";
import { DispatchBench } from "../../support/DispatchBench.js";

const HOSTS = 90;
const ZONES = 3;
const UPSTREAMS_A_ZONE = 12;
const SLOTS = 6;
const SERVICE_TIME_MS = 200;
/** Slots in use on average, as a share of all. */
const MEAN_USE = 1 / 3;
/** How far a zone's rate rises above and falls below its mean. */
const SWING = 0.55;
const WAVE_MS = 4_000;
const WARM_UP_MS = 2_000;
const DURATION_MS = 6_000;
const END_MS = 2_000;
const MAX_ATTEMPTS = 2;
/** Target of the requests, in milliseconds. */
const TARGET_MS = 1_000;
const STEP_MS = 5;

interface Load {
    readonly sent: number;
    /** Requests that an upstream of another zone got, as a share of those sent. */
    readonly leftShare: number;
    /** Requests that were answered after their target or not at all, as a share of those sent. */
    readonly lateShare: number;
}

/** The zones from which requests were sent, by request id. */
const senders = new Map<string, string>();
const test = suite("zone load");

test("waves out of phase between zones, slots a third used on average: hardly any request leaves its zone, and none is late", async () => {
    const { sent, leftShare, lateShare } = await runWaves(new DispatchBench(getOptions()));
    assert.ok(sent > 1_000);
    assert.ok(leftShare < 0.01, `${leftShare} left their zone`);
    assert.ok(lateShare < 0.01, `${lateShare} were late`);
});

test("half of a zone's upstreams ejected beside the waves: few requests leave, few are late", async () => {
    const bench = new DispatchBench(getOptions());
    applyFaults(bench, "zone-a", UPSTREAMS_A_ZONE / 2, { errorRate: 1 });
    const { leftShare, lateShare } = await runWaves(bench);
    assert.ok(leftShare < 0.1, `${leftShare} left their zone`);
    assert.ok(lateShare < 0.03, `${lateShare} were late`);
});

test("a zone that sheds everything: its requests leave and are served in time", async () => {
    const bench = new DispatchBench(getOptions());
    applyFaults(bench, "zone-a", UPSTREAMS_A_ZONE, { isShedding: true });
    const { leftShare, lateShare } = await runWaves(bench);
    assert.ok(leftShare > 0.25, `${leftShare} left their zone`);
    assert.ok(lateShare < 0.03, `${lateShare} were late`);
});

test("a zone whose upstreams fail at once doesn't draw requests of the others", async () => {
    const bench = new DispatchBench(getOptions());
    applyFaults(bench, "zone-a", UPSTREAMS_A_ZONE, { errorRate: 1 });
    await runWaves(bench);
    const arrivals = bench.upstreams.records.filter(({ upstream, time }) =>
        time >= WARM_UP_MS && upstream.startsWith("zone-a")
    );
    const fromOthers = arrivals.filter(({ requestId }) => senders.get(getCallId(requestId)) !== "zone-a");
    assert.ok(fromOthers.length < 30, `${fromOthers.length} requests of other zones`);
});

test.run();

function getOptions(): ConstructorParameters<typeof DispatchBench>[0] {
    return {
        hosts: HOSTS,
        upstreamsPerZone: UPSTREAMS_A_ZONE,
        serviceTimeMs: SERVICE_TIME_MS,
        service: { queuePerSlot: 2, retryRate: 40 },
    };
}

function applyFaults(
    bench: DispatchBench,
    zone: string,
    count: number,
    faults: Parameters<DispatchBench["upstreams"]["applyFaults"]>[1],
): void {
    bench.service.upstreams.filter(upstream => upstream.zone === zone).slice(0, count)
        .forEach(({ name }) => bench.upstreams.applyFaults(name, faults));
}

/** Sends requests whose rate rises and falls in each zone, with the crests of the zones a third of a period apart. */
async function runWaves(bench: DispatchBench): Promise<Load> {
    const { clock, upstreams } = bench;
    const random = new SeededRandom(7);
    const meanPerStep = MEAN_USE * UPSTREAMS_A_ZONE * SLOTS * STEP_MS / SERVICE_TIME_MS;
    senders.clear();
    const due = new Array<number>(ZONES).fill(0);
    let number = 0;
    let sent = 0;
    let lateCount = 0;
    while (clock.getTime() < DURATION_MS) {
        const start = clock.getTime();
        for (let zone = 0; zone < ZONES; zone++) {
            due[zone]! += meanPerStep * (1 + SWING * Math.sin(2 * Math.PI * (start / WAVE_MS + zone / ZONES)));
            for (; due[zone]! >= 1; due[zone]!--) {
                senders.set(`r${number++}`, `zone-${"abc"[zone]}`);
                const host = ZONES * Math.floor(random.getNext() * HOSTS / ZONES) + zone;
                const answer = bench.run(host, MAX_ATTEMPTS);
                if (start >= WARM_UP_MS) {
                    sent++;
                    void answer.then(({ kind }) => {
                        lateCount += kind !== OutcomeKind.Done || clock.getTime() - start > TARGET_MS ? 1 : 0;
                    });
                }
            }
        }
        await clock.run(STEP_MS);
    }
    await clock.run(END_MS);
    const left = new Set(
        upstreams.records.filter(({ requestId, upstream, time }) => {
            const sender = senders.get(getCallId(requestId));
            return time >= WARM_UP_MS && sender !== undefined && !upstream.startsWith(sender);
        }).map(({ requestId }) => getCallId(requestId)),
    );
    return { sent, leftShare: left.size / sent, lateShare: lateCount / sent };
}

/** Gets the id of a request from that of one of its attempts. */
function getCallId(requestId: string): string {
    return requestId.split(".")[0]!;
}
