/** A server of a service. */
export interface Upstream {
    readonly name: string;
    /** "ip:port" */
    readonly address: string;
    readonly zone: string;
    /** Requests that it runs at once. */
    readonly slots: number;
    /** Connections that it accepts. */
    readonly connections: number;
    /** Whether it is leaving and gets no new work. */
    readonly draining?: boolean;
    /** Differs for every start of the upstream's process; undefined if starts can't be told apart. */
    readonly incarnation?: string;
    /** How much longer it is slow after its start, in milliseconds. */
    readonly coldMs?: number;
}
