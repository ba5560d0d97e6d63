import { readFile } from "node:fs/promises";
import { z } from "zod";
import { parseDocument } from "../configuration/index.js";
import { readJsonFile } from "../utils/index.js";
import type { Deployment } from "./Deployment.js";

const keyFileSchema = z.object({ keys: z.array(z.object({ account: z.string(), key: z.string() })) });

/**
 * Reads a deployment from the examples.
 * @param name - The folder's name below examples.
 */
export async function readDeployment(name: string): Promise<Deployment> {
    const document = parseDocument(await readFile(`examples/${name}/configuration.json`, "utf8"));
    const { keys } = await readJsonFile(`examples/${name}/keys.json`, keyFileSchema);
    return { name, document, keys: Object.fromEntries(keys.map(entry => [entry.account, entry.key])) };
}
