import { spawnSync } from "node:child_process";
import { existsSync, mkdirSync, mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join, resolve } from "node:path";
import { setTimeout as wait } from "node:timers/promises";
import { pathToFileURL } from "node:url";
import { suite } from "uvu";
import * as assert from "uvu/assert";

type ClaimSetupLock = (file: string) => Promise<() => void>;
type FindMissingPackages = (lock: { packages: Record<string, object>; }, folder: string) => string[];

const WAIT_MS = 300;

const test = suite("the setup of packages");
const folder = mkdtempSync(join(tmpdir(), "fuchsiapath-setup-"));
const lockFile = join(folder, ".setup-lock");

test.after(() => rmSync(folder, { recursive: true }));

// Guards against two commands that install in one folder at once and leave packages missing ("tsc: not found").
test("a second command waits until the first has installed", async () => {
    const claimSetupLock = await readExport<ClaimSetupLock>("claimSetupLock");
    const release = await claimSetupLock(lockFile);
    let isClaimed = false;
    const second = claimSetupLock(lockFile).then(releaseSecond => {
        isClaimed = true;
        return releaseSecond;
    });
    await wait(WAIT_MS);
    assert.not(isClaimed);
    release();
    (await second)();
    assert.not(existsSync(lockFile));
});

test("the lock of a process that is gone is taken over", async () => {
    const claimSetupLock = await readExport<ClaimSetupLock>("claimSetupLock");
    const { pid } = spawnSync(process.execPath, ["-e", ""]);
    writeFileSync(lockFile, String(pid));
    (await claimSetupLock(lockFile))();
    assert.not(existsSync(lockFile));
});

// Guards against a stamp that stands over an installation with packages missing.
test("a locked package that is not installed is found, unless it is optional", async () => {
    const findMissingPackages = await readExport<FindMissingPackages>("findMissingPackages");
    mkdirSync(join(folder, "node_modules/here"), { recursive: true });
    writeFileSync(join(folder, "node_modules/here/package.json"), "{}");
    const packages = {
        "": {},
        "node_modules/here": {},
        "node_modules/gone": {},
        "node_modules/other-machine": { optional: true },
    };
    assert.equal(findMissingPackages({ packages }, folder), ["node_modules/gone"]);
});

test.run();

async function readExport<T>(name: string): Promise<T> {
    const module = await import(pathToFileURL(resolve(`scripts/${name}.mjs`)).href) as Record<string, T>;
    return module[name]!;
}
