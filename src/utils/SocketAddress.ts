/** An IP address and a port. */
export interface SocketAddress {
    readonly host: string;
    readonly port: number;
}
