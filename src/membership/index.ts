export type { Member } from "./Member.js";
export type { Membership } from "./Membership.js";
export type { MembershipView } from "./MembershipView.js";
