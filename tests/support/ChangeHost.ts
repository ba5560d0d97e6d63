import type { ChangeService, ConfigurationLoader } from "../../src/configuration/index.js";
import type { HeadStore } from "../../src/head/index.js";

/** The configuration part of an entry host. */
export interface ChangeHost {
    readonly loader: ConfigurationLoader;
    readonly headStore: HeadStore;
    readonly service: ChangeService;
    /** What its wait for a majority ends with. */
    isMajorityReached: boolean;
}
