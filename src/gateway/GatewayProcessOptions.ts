import type Logger from "bunyan";
import type { Polka } from "polka";
import type { HostRegistry } from "../registry/index.js";
import type { ReplicatedStore } from "../replica/index.js";
import type { UpstreamProtocol } from "../services/index.js";
import type { GatewaySettings } from "../settings/index.js";
import type { StoreItemDecoder } from "../supply/index.js";
import type { GatewayHost } from "./GatewayHost.js";
import type { GatewayProtocol } from "./GatewayProtocol.js";
import type { StoreRestorer } from "./StoreRestorer.js";

/** Settings of a gateway process and the adapters for the platform that it runs on. */
export interface GatewayProcessOptions {
    readonly settings: GatewaySettings;
    readonly logger: Logger;
    /** Collects the young generation of objects; undefined if the process can't ask for it. */
    readonly collectGarbage?: (() => void) | undefined;
    /** Gets the number of log lines dropped so far. */
    readonly getDroppedLogLines: () => number;
    /** The secret by which entry hosts authenticate their calls to each other. */
    readonly peerSecret: string;
    readonly source: ReplicatedStore;
    readonly registry: HostRegistry;
    readonly restorer: StoreRestorer;
    readonly decoder: StoreItemDecoder;
    readonly callerProtocol: GatewayProtocol;
    readonly upstreamProtocol: UpstreamProtocol;
    /** Adds the routes that give callers the addresses of entry hosts. */
    readonly addLookupRoutes: (app: Polka, host: GatewayHost) => void;
    /** Adds the readiness probe. */
    readonly addReadyRoute: (app: Polka, host: GatewayHost) => void;
}
