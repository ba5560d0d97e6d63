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
/** Accounts whose names headers can't carry or programs may take for something else, by their keys. */
const ODD_KEYS = [
    ["key-blank", " soles"],
    ["key-thai", "ร้าน"],
    ["key-line", "a\nb"],
    ["key-proto", "__proto__"],
    ["key-null", "null"],
] as const;

/** The keys of all configurations of a run. */
export class SoakKeys {
    readonly all: SoakKey[] = [...FIXED_KEYS, ...ODD_KEYS].map(([key, account]) => ({
        key,
        account,
        isChanging: false,
        addedTime: Number.NEGATIVE_INFINITY,
        withdrawnTime: undefined,
    }));
    #number = 0;

    /** Gets the entries of the accounts with odd names in a configuration. */
    getOddAccounts(): Readonly<Record<string, object>> {
        return Object.fromEntries(ODD_KEYS.map(([key, account]) => [account, { api_keys: [key] }]));
    }

    /**
     * Gets the key of one of the accounts with odd names.
     * @param index - Selects the account.
     */
    getOdd(index: number): string {
        return ODD_KEYS[index % ODD_KEYS.length]![0];
    }

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
        return this.all[Math.max(FIXED_KEYS.length + ODD_KEYS.length, this.all.length - 1 - changes)]!;
    }

    /**
     * Finds a key.
     * @param key - The key.
     */
    find(key: string): SoakKey | undefined {
        return this.all.find(item => item.key === key);
    }
}
