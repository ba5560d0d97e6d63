/** A backend server of a service. */
export interface Upstream {
    readonly name: string;
    /** "ip:port" */
    readonly address: string;
    readonly zone: string;
    /** Number of requests that it runs concurrently. */
    readonly slots: number;
    /** Largest number of connections that it accepts. */
    readonly connections: number;
    /** Whether it is draining and gets no new requests. */
    readonly draining?: boolean;
    /** Whether it drains because operators have evacuated its zone. */
    readonly isEvacuated?: boolean;
    /** Identifies one start of the upstream's process; undefined if restarts can't be detected. */
    readonly incarnation?: string;
    /** Remaining warm-up time after its start, during which it is slow, in milliseconds. */
    readonly coldMs?: number;
    /** Until when it is cold, or may be, in milliseconds of this host's clock; it is warm if undefined. */
    readonly warmTime?: number;
}
