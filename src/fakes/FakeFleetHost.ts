import type { HeadStore, Member } from "../head/index.js";
import type { MembershipService } from "../membership/index.js";
import type { FakeHeadInstaller } from "./FakeHeadInstaller.js";
import type { FakeHostClock } from "./FakeHostClock.js";
import type { FakeHostStore } from "./FakeHostStore.js";
import type { FakeHostTransport } from "./FakeHostTransport.js";

/** One host of a fake fleet. */
export interface FakeFleetHost {
    readonly member: Member;
    readonly membership: MembershipService;
    readonly clock: FakeHostClock;
    readonly store: FakeHostStore;
    readonly headStore: HeadStore;
    readonly transport: FakeHostTransport;
    readonly installer: FakeHeadInstaller;
}
