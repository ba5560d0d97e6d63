/** A component of the process that a supervisor starts and stops. */
export interface Child {
    readonly name: string;
    start(): Promise<void>;
    stop(): Promise<void>;
}
