import type { OperatorSettings } from "./OperatorSettings.js";
import type { Policy } from "./Policy.js";

/** The settings of an entry host. */
export interface EntrySettings {
    /** Identifies the host; its pairing with the peer address must not change across restarts. */
    readonly id: string;
    readonly region: string;
    readonly zone: string;
    /** The address that callers connect to, as "ip:port". */
    readonly callerAddress: string;
    /** The address that other entry hosts connect to. */
    readonly peerAddress: string;
    /** The address that operators connect to. */
    readonly operatorAddress: string;
    readonly storeAddress: string;
    readonly hostListAddress: string;
    /** Peer addresses to contact at startup when the store is unavailable. */
    readonly seedPeers: readonly string[];
    /** The secret shared by all entry hosts. */
    readonly peerSecret: string;
    readonly operators: readonly OperatorSettings[];
    readonly policy: Policy;
    /** How long callers may cache a lookup's answer, in milliseconds. */
    readonly lookupLifetimeMs: number;
    /** Maximum delay of the host list, in milliseconds. */
    readonly hostListLagMs: number;
    /** Timeout of a graceful stop, in milliseconds. */
    readonly stopTimeoutMs: number;
    readonly logLevel: "trace" | "debug" | "info" | "warn" | "error" | "fatal";
}
