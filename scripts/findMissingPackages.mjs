import { existsSync } from "node:fs";
import { join } from "node:path";

/**
 * Finds the locked packages that are not installed; optional ones may be missing, as they are for other kinds of machines.
 * @param {{ packages: Record<string, { optional?: boolean; devOptional?: boolean; }>; }} lock - The content of the lock file.
 * @param {string} folder - The folder of the lock file.
 * @returns {string[]} Their paths.
 */
export function findMissingPackages(lock, folder) {
    return Object.entries(lock.packages)
        .filter(([path, { optional, devOptional }]) => path !== "" && optional !== true && devOptional !== true)
        .map(([path]) => path)
        .filter(path => !existsSync(join(folder, path, "package.json")));
}
