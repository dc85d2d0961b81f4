# Whole instances on the loopback network against stand-ins of the operators'
# platform.
sassafrasknot_tests(sassafrasknot_edge_test
  "${CMAKE_CURRENT_LIST_DIR}/edge_node_test.cpp;${CMAKE_CURRENT_LIST_DIR}/stand_ins.cpp"
  sassafrasknot_platform)
