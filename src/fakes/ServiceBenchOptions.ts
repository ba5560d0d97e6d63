import type { DetectionSettings, Service } from "../configuration/index.js";
import type { PeerTransport } from "../peers/index.js";
import type { EjectionPolicy } from "../services/index.js";
import type { FakeUpstreamsOptions } from "./FakeUpstreamsOptions.js";

/** Options of a service bench that differ from the defaults. */
export interface ServiceBenchOptions {
    readonly seed?: number;
    readonly policy?: EjectionPolicy;
    readonly service?: Partial<Service>;
    readonly detection?: Partial<DetectionSettings>;
    readonly fakes?: Partial<FakeUpstreamsOptions>;
    /** Sends calls to other service hosts; if left out, all calls fail. */
    readonly peers?: PeerTransport;
    /** Whether the bench's host is the first of two service hosts. */
    readonly isFirstOfTwo?: boolean;
    /** How long the answer to an order is waited for after its deadline, in milliseconds. */
    readonly lateAnswerMs?: number;
    /** Number of upstreams. */
    readonly upstreams?: number;
    /** Slots of each upstream. */
    readonly slots?: number;
}
