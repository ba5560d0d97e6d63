import type { Member } from "../head/index.js";
import type { ServiceAnswer } from "../services/index.js";

/** A service host's answer with the host that gave it. */
export interface HostAnswer extends ServiceAnswer {
    /** Undefined if none could be reached. */
    readonly host: Member | undefined;
    /** The id under which the service host knows the attempt. */
    readonly attemptId?: string;
}
