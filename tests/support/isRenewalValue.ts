interface UpstreamValue {
    readonly state?: string;
    readonly sequence?: number;
}

/**
 * Whether an upstream's entry only has a higher sequence number than before, for tests.
 * @param key - The key.
 * @param previous - The entry before.
 * @param next - The entry after.
 */
export function isRenewalValue(key: string, previous: string, next: string): boolean {
    if (!key.startsWith("upstreams/")) {
        return false;
    }
    const [before, after] = [previous, next].map(value => JSON.parse(value) as UpstreamValue);
    return before!.state === after!.state && before!.sequence! < after!.sequence!;
}
