interface UpstreamValue {
    readonly state?: string;
    readonly sequence?: number;
}

/**
 * Whether a new value of an upstream entry differs from the previous one only by a higher sequence number, for tests.
 * @param key - Key of the entry.
 * @param previous - The previous value.
 * @param next - The new value.
 */
export function isRenewalValue(key: string, previous: string, next: string): boolean {
    if (!key.startsWith("upstreams/")) {
        return false;
    }
    const [before, after] = [previous, next].map(value => JSON.parse(value) as UpstreamValue);
    return before!.state === after!.state && before!.sequence! < after!.sequence!;
}
