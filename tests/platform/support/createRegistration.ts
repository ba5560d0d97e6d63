/** Creates an upstream's registration in the platform's format. */
export function createRegistration(change: Record<string, unknown> = {}): Record<string, unknown> {
    return {
        service: "catalogue",
        addr: "127.0.0.1:8080",
        zone: "zone-a",
        version: "v1",
        slots: 6,
        state: "ready",
        cold_left_s: 0,
        seq: 4,
        ...change,
    };
}
