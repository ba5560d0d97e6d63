import type { ChangeService, ConfigurationLoader } from "../../src/configuration/index.js";
import type { HeadStore } from "../../src/head/index.js";

/** The configuration part of an entry host. */
export interface ChangeHost {
    readonly loader: ConfigurationLoader;
    readonly headStore: HeadStore;
    readonly service: ChangeService;
    /** Result of its wait for a majority. */
    isMajorityReached: boolean;
}
