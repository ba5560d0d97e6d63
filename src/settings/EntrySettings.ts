import type { OperatorSettings } from "./OperatorSettings.js";
import type { Policy } from "./Policy.js";

/** The settings of an entry host. */
export interface EntrySettings {
    /** Stays with the peer address over restarts. */
    readonly id: string;
    readonly region: string;
    readonly zone: string;
    /** Where callers reach this host, as "ip:port". */
    readonly callerAddress: string;
    /** Where other entry hosts reach this host. */
    readonly peerAddress: string;
    /** Where operators reach this host. */
    readonly operatorAddress: string;
    readonly storeAddress: string;
    readonly hostListAddress: string;
    /** Peer addresses asked at the start when the store is away. */
    readonly seedPeers: readonly string[];
    /** The secret that all entry hosts share. */
    readonly peerSecret: string;
    readonly operators: readonly OperatorSettings[];
    readonly policy: Policy;
    /** How long callers may keep a lookup's answer, in milliseconds. */
    readonly lookupLifetimeMs: number;
    /** How long the host list may lag, in milliseconds. */
    readonly hostListLagMs: number;
    /** Longest graceful stop, in milliseconds. */
    readonly stopTimeoutMs: number;
    readonly logLevel: "trace" | "debug" | "info" | "warn" | "error" | "fatal";
}
