interface SoakKey {
    readonly key: string;
    readonly account: string;
    /** Whether the soak changes it. */
    readonly isChanging: boolean;
    /** When the store acknowledged the version with it, in milliseconds of the monotonic clock. */
    readonly addedTime: number;
    /** When the store acknowledged the version without it. */
    withdrawnTime: number | undefined;
}

const FIXED_KEYS = [
    ["key-1", "clogs"],
    ["key-2", "clogs"],
    ["key-fixed", "soles"],
    ["key-anonymous", "anonymous"],
] as const;

/** The keys of all configurations of a run. */
export class SoakKeys {
    readonly all: SoakKey[] = FIXED_KEYS.map(([key, account]) => ({
        key,
        account,
        isChanging: false,
        addedTime: Number.NEGATIVE_INFINITY,
        withdrawnTime: undefined,
    }));
    #number = 0;

    /** Gets the next key of the account whose key changes. */
    getNext(): string {
        return `key-change-${this.#number + 1}`;
    }

    /** Records that the next key was added and the one before withdrawn. */
    recordChange(): void {
        const now = performance.now();
        const newest = this.all.at(-1)!;
        if (newest.isChanging) {
            newest.withdrawnTime = now;
        }
        const key = this.getNext();
        this.#number++;
        this.all.push({ key, account: "soles", isChanging: true, addedTime: now, withdrawnTime: undefined });
    }

    /**
     * Gets the key that was the newest some changes ago, or the oldest.
     * @param changes - Number of changes.
     */
    getRecent(changes: number): SoakKey {
        return this.all[Math.max(FIXED_KEYS.length, this.all.length - 1 - changes)]!;
    }

    /**
     * Finds a key.
     * @param key - The key.
     */
    find(key: string): SoakKey | undefined {
        return this.all.find(item => item.key === key);
    }
}
