import type Logger from "bunyan";
import type { Polka } from "polka";
import type { HostRegistry } from "../registry/index.js";
import type { ReplicatedStore } from "../replica/index.js";
import type { UpstreamProtocol } from "../services/index.js";
import type { GatewaySettings } from "../settings/index.js";
import type { StoreItemDecoder } from "../supply/index.js";
import type { GatewayHost } from "./GatewayHost.js";
import type { GatewayProtocol } from "./GatewayProtocol.js";

/** A gateway's settings and what connects it with the platform that it runs on. */
export interface GatewayProcessOptions {
    readonly settings: GatewaySettings;
    readonly logger: Logger;
    /** Gets how many log lines were left out so far. */
    readonly getDroppedLogLines: () => number;
    /** The secret that entry hosts share. */
    readonly peerSecret: string;
    readonly source: ReplicatedStore;
    readonly registry: HostRegistry;
    readonly decoder: StoreItemDecoder;
    readonly callerProtocol: GatewayProtocol;
    readonly upstreamProtocol: UpstreamProtocol;
    /** Adds the call by which callers learn where to connect. */
    readonly addLookupRoutes: (app: Polka, host: GatewayHost) => void;
    /** Adds the call that tells whether the host is ready. */
    readonly addReadyRoute: (app: Polka, host: GatewayHost) => void;
}
