import type { Member } from "../head/index.js";
import type { ServiceAnswer } from "../services/index.js";

/** A service host's answer, with the host that sent it. */
export interface HostAnswer extends ServiceAnswer {
    /** Undefined if no host could be reached. */
    readonly host: Member | undefined;
    /** The attempt's request id at the service host. */
    readonly attemptId?: string;
}
