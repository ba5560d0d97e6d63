/** What the plans of a soak are made of. */
export enum SoakProfile {
    /** Faults of hosts, links, the store and upstreams, whenever they come. */
    Faults = "faults",
    /** Hot accounts while hosts restart and are cut off, services that refuse, and accounts with odd names. */
    Pressure = "pressure",
}
