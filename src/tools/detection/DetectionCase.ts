import type { FakeUpstreamFaults } from "../../fakes/index.js";

/** A fault of one upstream whose detection is timed. */
export interface DetectionCase {
    readonly name: string;
    readonly faults: FakeUpstreamFaults;
}
