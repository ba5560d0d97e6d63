import type { RandomSource } from "../random/index.js";
import type { Clock } from "../time/index.js";
import type { AddressBook } from "./AddressBook.js";
import type { CallerTransport } from "./CallerTransport.js";
import type { Experiment } from "./Experiment.js";

/** What a caller is built from. */
export interface CallerOptions {
    readonly account: string;
    /** "keyId.secret"; undefined for requests on open routes only. */
    readonly key: string | undefined;
    readonly book: AddressBook;
    readonly transport: CallerTransport;
    readonly clock: Clock;
    readonly random: RandomSource;
    readonly experiment: Pick<Experiment, "answerTimeoutMs" | "resends" | "resendDelayMs">;
}
