import type { EncodedOutcome } from "./EncodedOutcome.js";
import type { RequestState } from "./RequestState.js";

/** What a service host knows of a request. */
export type FindOutcomeResult =
    | { readonly state: RequestState.Finished; readonly outcome: EncodedOutcome; readonly upstream?: string; }
    | { readonly state: RequestState.Running | RequestState.NeverSeen | RequestState.Forgotten; };
