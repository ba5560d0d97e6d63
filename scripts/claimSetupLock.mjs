import { readFileSync, renameSync, rmSync, writeFileSync } from "node:fs";
import { setTimeout as wait } from "node:timers/promises";

const RETRY_MS = 100;

/**
 * Claims the right to install packages; waits while another process that lives has it.
 * @param {string} file - Path of the lock file.
 * @returns {Promise<() => void>} Releases the lock.
 */
export async function claimSetupLock(file) {
    while (!isCreated(file)) {
        if (!isHolderAlive(file)) {
            removeStale(file);
            continue;
        }
        await wait(RETRY_MS);
    }
    return () => rmSync(file, { force: true });
}

function isCreated(file) {
    try {
        writeFileSync(file, String(process.pid), { flag: "wx" });
        return true;
    }
    catch (error) {
        if (error.code === "EEXIST") {
            return false;
        }
        throw error;
    }
}

/** A lock without a number was just created and counts as held. */
function isHolderAlive(file) {
    const holder = readHolder(file);
    if (holder === undefined) {
        return true;
    }
    try {
        process.kill(holder, 0);
        return true;
    }
    catch (error) {
        return error.code === "EPERM";
    }
}

function readHolder(file) {
    try {
        const holder = Number(readFileSync(file, "utf8"));
        return holder > 0 ? holder : undefined;
    }
    catch {
        return undefined;
    }
}

/** Two processes may find the same stale lock: only one of them can rename it, and a lock that was claimed meanwhile is put back. */
function removeStale(file) {
    const stale = `${file}.${process.pid}`;
    try {
        renameSync(file, stale);
    }
    catch {
        return;
    }
    if (isHolderAlive(stale)) {
        renameSync(stale, file);
        return;
    }
    rmSync(stale, { force: true });
}
