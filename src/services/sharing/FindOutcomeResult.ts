import type { EncodedOutcome } from "../outcomes/EncodedOutcome.js";
import type { RequestState } from "../outcomes/RequestState.js";

/** The state of a request at a service host, with its outcome once it has ended. */
export type FindOutcomeResult =
    | { readonly state: RequestState.Finished; readonly outcome: EncodedOutcome; readonly upstream?: string; }
    | { readonly state: RequestState.Running | RequestState.NeverSeen | RequestState.Forgotten; };
