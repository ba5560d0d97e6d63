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
}
