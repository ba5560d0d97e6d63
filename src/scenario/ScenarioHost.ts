import type { EntryHost } from "../entry/index.js";
import type { FakeHostClock, FakeHostStore } from "../fakes/index.js";
import type { DecisionHistory } from "../logging/index.js";

/** One entry host of a scenario. */
export interface ScenarioHost {
    readonly index: number;
    readonly address: string;
    readonly host: EntryHost;
    readonly clock: FakeHostClock;
    readonly store: FakeHostStore;
    readonly decisions: DecisionHistory;
    /** Aborted when the host is killed. */
    readonly life: AbortController;
    /** Ends when the host is killed. */
    readonly death: Promise<void>;
    /** Whether the process is paused. */
    isFrozen: boolean;
}
