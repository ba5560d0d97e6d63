import type { Configuration } from "./Configuration.js";

/** Receives a configuration that has come into force, and the one before it. */
export type ConfigurationListener = (configuration: Configuration, previous: Configuration) => void;
