import type { Configuration } from "./Configuration.js";

/** Receives a newly activated configuration and the one that it replaces. */
export type ConfigurationListener = (configuration: Configuration, previous: Configuration) => void;
