/** An entry of the platform's host list. */
export interface ListedHost {
    /** The entry host's peer address, as "ip:port". */
    readonly address: string;
    /** Whether the platform is about to stop the host. */
    readonly leaving: boolean;
}
