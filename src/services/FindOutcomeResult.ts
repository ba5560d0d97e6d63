import type { FoundState } from "./FoundState.js";
import type { KeptOutcome } from "./KeptOutcome.js";

/** What a service host knows of a request. */
export type FindOutcomeResult =
    | { readonly state: FoundState.Finished; readonly outcome: KeptOutcome; readonly upstream?: string; }
    | { readonly state: FoundState.Running | FoundState.NeverSeen | FoundState.Forgotten; };
