import type { Head } from "../head/index.js";
import { getHeadMembers } from "./getHeadMembers.js";
import type { MemberLayout } from "./MemberLayout.js";

const MAX_KEPT_LAYOUTS = 16;
const EMPTY_LAYOUT: MemberLayout = { key: "", memberIds: [] };

/** Keeps the newest member layouts, to decode answers of hosts with an older or newer view. */
export class LayoutHistory {
    readonly #layouts: MemberLayout[] = [];

    /**
     * Adds the layout of a head's members.
     * @param head - The head.
     */
    add(head: Head): void {
        const key = `${head.view.version}.${head.nextView?.version ?? 0}`;
        if (this.getNewest().key !== key) {
            this.#layouts.push({ key, memberIds: getHeadMembers(head).map(member => member.id).sort() });
            this.#layouts.splice(0, this.#layouts.length - MAX_KEPT_LAYOUTS);
        }
    }

    /** Gets the newest layout. */
    getNewest(): MemberLayout {
        return this.#layouts.at(-1) ?? EMPTY_LAYOUT;
    }

    /**
     * Finds the member ids of a layout.
     * @param key - The layout's key.
     */
    findMemberIds(key: string): readonly string[] | undefined {
        return this.#layouts.find(layout => layout.key === key)?.memberIds;
    }
}
