import { JSONRPCErrorCode, JSONRPCErrorException } from "json-rpc-2.0";
import { suite } from "uvu";
import * as assert from "uvu/assert";
import { PeerUnavailableError } from "../../../src/errors/index.js";
import { FakeClock, FakeMembership } from "../../../src/fakes/index.js";
import { PeerHandlers } from "../../../src/peers/index.js";
import type { PeerTransport } from "../../../src/peers/index.js";
import { OwnerContacts } from "../../../src/rates/owned/OwnerContacts.js";
import { createMember } from "../../support/createMember.js";

const HOSTS = 9;
const STEP_MS = 50;
const members = Array.from({ length: HOSTS }, (_, index) => createMember(index));
const [self, first, second] = members as [typeof members[0], typeof members[0], typeof members[0]];
const others = [first!, second!];

const test = suite("contacts between the owners of a rate");
let clock: FakeClock;
let membership: FakeMembership;
let contacts: OwnerContacts;
/** What each host answers, by its address. */
let answers: Map<string, () => Promise<{ heard: readonly string[]; }>>;

test.before.each(() => {
    clock = new FakeClock();
    membership = new FakeMembership(self!, { version: 1, members });
    answers = new Map(members.map(({ peerAddress }) => [peerAddress, async () => ({ heard: [] })]));
    const transport = { send: (address: string) => answers.get(address)!() } as unknown as PeerTransport;
    contacts = new OwnerContacts({ clock, membership, transport, handlers: new PeerHandlers() });
});

test("an owner that answers is in touch, and one that falls silent is not after 1.3 s", async () => {
    await watch(1_000);
    assert.ok(contacts.isInTouch(first!));
    stopAnswers(first!.peerAddress);
    await watch(1_000);
    assert.ok(contacts.isInTouch(first!));
    await watch(700);
    assert.not(contacts.isInTouch(first!));
    assert.ok(contacts.isInTouch(second!));
});

test("an owner is lost once it is silent for 2 s, is reported and no owner in touch hears it", async () => {
    await watch(500);
    stopAnswers(first!.peerAddress);
    answers.set(second!.peerAddress, async () => ({ heard: [first!.id] }));
    await watch(3_000);
    assert.not(contacts.isLost(first!, others), "not reported");
    membership.unreachable.add(first!.id);
    assert.not(contacts.isLost(first!, others), "heard by the other owner");
    answers.set(second!.peerAddress, async () => ({ heard: [] }));
    await watch(500);
    assert.ok(contacts.isLost(first!, others));
});

test("most of the fleet has to answer for a majority", async () => {
    members.slice(5).forEach(({ peerAddress }) => stopAnswers(peerAddress));
    await watch(1_000, true);
    assert.ok(contacts.hasMajority(), "5 of 9");
    stopAnswers(members[4]!.peerAddress);
    await watch(2_000, true);
    assert.not(contacts.hasMajority(), "4 of 9");
});

// Guards against a rolling update in which hosts of the earlier version count as lost, as they don't know the call.
test("a host that refuses the call is in touch", async () => {
    const refusal = new JSONRPCErrorException("Method not found", JSONRPCErrorCode.MethodNotFound);
    answers.set(first!.peerAddress, () => Promise.reject(new PeerUnavailableError("", false, { cause: refusal })));
    await watch(3_000);
    assert.ok(contacts.isInTouch(first!));
});

test.run();

async function watch(durationMs: number, isFleetWatched = false): Promise<void> {
    for (let passedMs = 0; passedMs < durationMs; passedMs += STEP_MS) {
        contacts.watch(others);
        if (isFleetWatched) {
            contacts.watchFleet();
        }
        await clock.run(STEP_MS);
    }
}

function stopAnswers(address: string): void {
    answers.set(address, () => Promise.reject(new PeerUnavailableError("silent", false)));
}
