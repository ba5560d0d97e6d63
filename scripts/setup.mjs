// Installs the locked packages if they are not installed yet for this machine. Plain JavaScript, since it runs before anything is built.
import { execSync } from "node:child_process";
import { existsSync, readFileSync, writeFileSync } from "node:fs";
import { claimSetupLock } from "./claimSetupLock.mjs";
import { createSetupStamp } from "./createSetupStamp.mjs";
import { findMissingPackages } from "./findMissingPackages.mjs";

const STAMP_FILE = "node_modules/.setup-stamp";
const LOCK_FILE = ".setup-lock";
const lock = readFileSync("package-lock.json");
const stamp = createSetupStamp(lock, process);
if (!isInstalled()) {
    // Two installations in one folder at once leave packages missing.
    const release = await claimSetupLock(LOCK_FILE);
    try {
        if (!isInstalled()) {
            install();
        }
    }
    finally {
        release();
    }
}

function isInstalled() {
    return existsSync(STAMP_FILE) && readFileSync(STAMP_FILE, "utf8") === stamp && findMissing().length === 0;
}

function install() {
    execSync("npm ci --silent --no-audit --no-fund", { stdio: "inherit" });
    const missing = findMissing();
    if (missing.length > 0) {
        throw new Error(`These packages were not installed: ${missing.join(", ")}`);
    }
    writeFileSync(STAMP_FILE, stamp);
}

function findMissing() {
    return findMissingPackages(JSON.parse(lock), ".");
}
