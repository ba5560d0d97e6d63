import type { ConfigurationDocument } from "../configuration/index.js";
import type { Policy } from "../settings/index.js";

/** What a fleet on loopback is made of. */
export interface FleetOptions {
    readonly document: ConfigurationDocument;
    readonly policy: Policy;
    readonly hostsPerZone: number;
    /** The first of the fleet's ports. */
    readonly firstPort: number;
    readonly seed: number;
    /** Folder for the settings files. */
    readonly folder: string;
}
