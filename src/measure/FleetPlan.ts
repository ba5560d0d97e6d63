import type { ConfigurationDocument } from "../configuration/index.js";
import type { EntrySettings } from "../settings/index.js";
import type { UpstreamStandInSettings } from "../standins/index.js";

/** The processes of a fleet on loopback with their addresses. */
export interface FleetPlan {
    /** The document with the upstreams' addresses on loopback. */
    readonly document: ConfigurationDocument;
    readonly storePort: number;
    readonly hostListPort: number;
    readonly controlPort: number;
    readonly upstreams: readonly Partial<UpstreamStandInSettings>[];
    readonly entries: readonly EntrySettings[];
}
