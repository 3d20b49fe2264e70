#include "policy/groups/group_member_list.h"

namespace rampgap {

const std::vector<std::string>& group_member_list::members(const backend_directory& servers, const std::string& service, const group_roster& roster, const sized_group& group)
{
    if (servers.revision() == m_serversRevision && roster.revision() == m_rosterRevision && group == m_group)
        return m_members;
    m_serversRevision = servers.revision();
    m_rosterRevision = roster.revision();
    m_group = group;
    m_members = roster.members(servers.activeServers(service), group.name, group.size);
    return m_members;
}

} // namespace rampgap
