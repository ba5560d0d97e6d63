import { createHash } from "node:crypto";

/**
 * Creates the text that identifies installed packages: the lock file and the kind of machine, as some packages hold programs for one kind.
 * @param {string | Buffer} lock - The content of the lock file.
 * @param {{ platform: string; arch: string; version: string; }} machine - The operating system, the processor and the version of Node.js.
 * @returns {string} The text.
 */
export function createSetupStamp(lock, { platform, arch, version }) {
    const lockHash = createHash("sha256").update(lock).digest("hex");
    return [lockHash, platform, arch, version.split(".", 1)[0]].join(" ");
}
