import { test } from "uvu";
import * as assert from "uvu/assert";
import { PeerUnavailableError } from "../../src/errors/index.js";
import { FakeClock } from "../../src/fakes/index.js";
import { ObservedPeerTransport, PeerMethod } from "../../src/peers/index.js";
import type { PeerTransport } from "../../src/peers/index.js";

test("remembers for how long all calls have been answered, and passes results and errors on", async () => {
    const clock = new FakeClock();
    let isFailing = false;
    const transport = new ObservedPeerTransport({
        send: async () => {
            if (isFailing) {
                throw new PeerUnavailableError("silent", false);
            }
            return { isServing: true };
        },
    } as PeerTransport, clock);
    const send = async (): Promise<unknown> => await transport.send("a:1", PeerMethod.IsServing, {}, 100);
    assert.equal(await send(), { isServing: true });
    assert.not(transport.hasFailedWithin(1_000_000));
    isFailing = true;
    const error = await send().catch((reason: unknown) => reason);
    assert.instance(error, PeerUnavailableError);
    await clock.run(500);
    assert.ok(transport.hasFailedWithin(500));
    assert.not(transport.hasFailedWithin(499));
});

test.run();
